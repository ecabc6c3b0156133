// Package placement chooses the instance on which a statement runs, by expected response time; it does no I/O and reads no clock.
//
// It serves package front, whose hosts choose for themselves; its counterpart for package owner is package route.
package placement
