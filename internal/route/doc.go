// Package route chooses the instance that serves a request, by expected completion time; it does no I/O and reads no clock.
//
// It serves package owner, whose host routes all requests of a database; its counterpart for package front is package
// placement.
package route
