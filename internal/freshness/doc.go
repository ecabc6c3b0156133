// Package freshness decides which log position a read must find, from positions that primaries proved; it is pure.
package freshness
