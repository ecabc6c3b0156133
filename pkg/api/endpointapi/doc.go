// Package endpointapi is the generated endpoint interface: one database instance as the hosts see it.
package endpointapi
