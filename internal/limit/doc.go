// Package limit bounds the load that one host accepts: open connections, requests by caller and requests by rank.
package limit
