// Package history records the requests and responses of sessions and checks them against the consistency guarantees of the
// system.
package history
