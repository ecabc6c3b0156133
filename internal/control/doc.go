// Package control runs the one goroutine that owns a host's control state.
package control
