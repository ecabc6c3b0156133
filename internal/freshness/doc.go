// Package freshness decides which log position a read requires, from positions confirmed by primaries; it does no I/O and reads no clock.
package freshness
