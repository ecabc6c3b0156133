// Package instance is the stand-in of one database instance: a small database over a replicated log with terms and positions.
package instance
