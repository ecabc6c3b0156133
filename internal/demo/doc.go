// Package demo runs a demonstration of the system, with the hosts and stand-ins of both users in one process.
package demo
