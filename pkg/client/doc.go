// Package client is the Go client library for applications that call the system. It keeps the session token, sets timeouts and
// request ids, and retries a request only if that is safe.
package client
