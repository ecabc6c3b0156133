// Package dispatch puts one instance's queue, slots and connections together: work waits for its turn and runs.
package dispatch
