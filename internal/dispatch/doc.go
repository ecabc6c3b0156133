// Package dispatch runs the work of one database instance: work queues until it gets a slot and a connection, and then runs.
package dispatch
