// Package endpoint is the hosts' side of the endpoint interface: typed calls to one database instance.
package endpoint
