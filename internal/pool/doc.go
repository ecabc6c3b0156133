// Package pool is a connection pool for one instance: it opens connections ahead of demand, stays within a limit and closes connections of doubtful state.
package pool
