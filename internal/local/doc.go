// Package local runs a whole deployment, hosts and stand-ins for the platform and the endpoints, in one process on loopback.
package local
