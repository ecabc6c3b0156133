// Package front serves callers' sessions: it carries each statement to the instance that is to run it, and its answer back.
package front
