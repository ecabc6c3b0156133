// Package route chooses the instance that serves a request, by expected completion time; it does no I/O and reads no clock.
package route
