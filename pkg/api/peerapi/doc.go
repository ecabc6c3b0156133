// Package peerapi contains the generated HTTP client and server of the peer interface: forwarded requests, heartbeats and
// configuration between hosts.
package peerapi
