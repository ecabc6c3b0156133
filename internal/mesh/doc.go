// Package mesh exchanges heartbeats and directories between hosts, authenticated with a key that only hosts can read from the store.
package mesh
