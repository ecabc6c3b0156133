// Package failover tracks the primary of a database and decides when to fail over or switch over to a replica.
//
// It has no I/O: observations and the time come in as arguments, decisions are returned.
package failover
