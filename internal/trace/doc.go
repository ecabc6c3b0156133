// Package trace makes a span for each hop and carries the W3C trace context between processes.
package trace
