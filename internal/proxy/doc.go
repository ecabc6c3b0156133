// Package proxy accepts callers' requests, forwards each to the host that owns its database and returns the complete answer.
package proxy
