// Package peerapi is the generated peer interface: forwarded work, heartbeats and configuration between hosts.
package peerapi
