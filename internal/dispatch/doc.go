// Package dispatch runs the work of one database instance: work queues until it gets a slot and a connection, and then runs.
//
// It serves package owner, whose host has the instance to itself; its counterpart for package front is package scheduler.
package dispatch
