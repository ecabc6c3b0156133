// Package ack decides when the owner of a database may acknowledge a write.
//
// Tally is the rule, without I/O; Gate probes the replicas and the database's row to apply it.
package ack
