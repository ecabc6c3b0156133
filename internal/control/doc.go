// Package control provides the event loop whose single goroutine owns a host's control state.
package control
