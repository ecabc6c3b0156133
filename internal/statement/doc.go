// Package statement holds the statements of callers and the answers of instances, whatever their encoding.
package statement
