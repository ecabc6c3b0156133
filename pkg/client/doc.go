// Package client is the callers' library: it keeps the session token, sets deadlines and request ids, and repeats only what is safe to repeat.
package client
