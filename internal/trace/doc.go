// Package trace records a span for each hop of a request and propagates the W3C trace context between processes.
package trace
