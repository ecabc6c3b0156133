// Package serve runs HTTP servers that end gracefully.
package serve
