// Package proxy takes callers' requests, sends each to the owner of its database and returns the whole answer.
package proxy
