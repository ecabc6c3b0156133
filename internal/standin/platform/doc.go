// Package platform implements a stand-in for the platform's service: a table of versioned rows, a store of objects, and a list
// of members that is served with a delay.
package platform
