// Package local runs a whole deployment in one process on loopback: the stand-ins and the hosts.
package local
