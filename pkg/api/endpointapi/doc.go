// Package endpointapi contains the generated HTTP client and server of the endpoint interface, through which hosts use a database
// instance.
package endpointapi
