// Package fault injects faults into an HTTP handler: outages, delays, isolation, and lost, truncated or duplicated messages.
package fault
