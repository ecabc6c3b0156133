// Package outbound holds what the typed clients of endpoints and platform share: transport, host header and whether a request was sent.
package outbound
