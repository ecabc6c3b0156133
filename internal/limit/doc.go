// Package limit bounds what one host takes in: connections, requests of each caller and requests of each rank.
package limit
