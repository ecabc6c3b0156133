// Package instance implements a stand-in for one database instance: a small in-memory database on top of a replicated log
// whose entries have a term and a position. Replicas pull the log from the primary.
package instance
