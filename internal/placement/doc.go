// Package place chooses the instance on which a statement runs, by when each is expected to answer; it is pure.
package placement
