// Package layout holds the test that keeps decisions apart from messages, clocks and sockets.
package layout
