// Package holder decides which of the hosts that keep connections to an instance take a tenant's requests; it does no I/O and reads no
// clock.
package holder
