// Package route chooses the instance that serves a piece of work, by expected completion time; it is pure.
package route
