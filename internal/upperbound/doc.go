// Package upperbound calculates what a deployment can serve at best from its sizes: an upper bound, against which measured results are
// compared. It does no I/O, reads no clock and draws no random numbers.
package upperbound
