// Package placement chooses the instance on which a statement runs, by expected response time; it does no I/O and reads no clock.
package placement
