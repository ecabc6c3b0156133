// Package failover decides which instance leads a database, and when another is to take over; it is pure.
package failover
