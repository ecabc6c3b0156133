// Package meshapi contains the generated messages that hosts exchange, and the HTTP client and server for directories.
package meshapi
