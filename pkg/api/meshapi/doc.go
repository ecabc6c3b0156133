// Package meshapi holds the generated messages between hosts, and their client and server.
package meshapi
