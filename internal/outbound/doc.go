// Package outbound holds the HTTP parts that the clients of endpoints and of the platform share: the transport, the host header and the classification of errors.
package outbound
