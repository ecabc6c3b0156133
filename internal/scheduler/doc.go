// Package lane shares one instance among the sessions of a host: connections, statements in progress and the queue for both.
package scheduler
