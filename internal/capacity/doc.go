// Package capacity measures how the cost of a host grows with the size of the fleet: memory, messages and CPU time.
package capacity
