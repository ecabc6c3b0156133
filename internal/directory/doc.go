// Package directory holds what a host knows of kinds, databases and instances, and applies updates to it; it does no I/O and reads no clock.
package directory
