// Package mesh exchanges heartbeats, directories and questions for tokens of tenants between hosts, authenticated with a key that
// only hosts can read from the store.
package mesh
