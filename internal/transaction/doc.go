// Package transaction keeps the open transactions of one host, each with the connection that it holds from begin to end.
package transaction
