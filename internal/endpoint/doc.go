// Package endpoint is the hosts' client of the endpoint API, with typed calls to one database instance.
package endpoint
