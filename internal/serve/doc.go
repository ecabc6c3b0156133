// Package serve runs HTTP servers with graceful shutdown and maps refusals to HTTP statuses.
package serve
