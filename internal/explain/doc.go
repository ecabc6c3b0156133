// Package explain finds the likely cause of a request's result in the logs of the hosts. It does no I/O apart
// from reading logs.
package explain
