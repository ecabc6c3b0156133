// Package transaction holds the open transactions of one host, each with the connection that it uses from begin to end.
package transaction
