// Package lease decides how long a host may use the primaries of endpoints that the platform doesn't fence, and when a
// promotion may be ordered.
//
// Every host needs the recent confirmation of a majority of the hosts, or of the store, to use a primary. A host that
// changes a primary first assigns the new one under the next token. Hosts that know a token use no other primary from then
// on; the order to promote waits until all hosts have stopped using the old primary or their leases have ended.
//
// The package has no I/O: messages and the time come in as arguments.
package lease
