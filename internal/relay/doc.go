// Package relay passes requests of sessions from the host that a caller reached to a host that keeps connections to the instance
// concerned, over one kept and authenticated stream for each pair of hosts.
package relay
