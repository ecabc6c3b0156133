// Package peer carries work, heartbeats and configuration between hosts over HTTP/3.
package peer
