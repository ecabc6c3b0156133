// Package platform is the stand-in of the platform's service: rows, objects and the lagging list of members.
package platform
