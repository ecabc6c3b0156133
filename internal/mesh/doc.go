// Package mesh carries beats and directories between hosts, sealed with the key that only hosts can read from the store.
package mesh
