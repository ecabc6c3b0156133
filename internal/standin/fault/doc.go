// Package fault makes an HTTP handler fail in the ways that networks and services fail.
package fault
