// Package statement defines callers' statements and instances' responses, independent of their encoding.
package statement
