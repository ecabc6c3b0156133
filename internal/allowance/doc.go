// Package allowance decides which operations of a tenant may run, so that the whole fleet keeps to the tenant's rate and burst.
//
// The allowance of a tenant is split into equal parts. The first hosts in the tenant's hash order keep one part each, whether other
// hosts hear them or not: a token bucket from which they grant tokens to themselves and to other hosts. An operation spends one token;
// one without a token waits, by rank and then by arrival, while its host asks the owners.
//
// The package has no I/O: messages and the time come in as arguments. A Book isn't safe for concurrent use.
package allowance
