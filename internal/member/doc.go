// Package member detects which hosts are alive, from heartbeats, gossip about other hosts and the platform's host list.
//
// It has no I/O: it tells which heartbeats are due and takes in those that arrive.
package member
