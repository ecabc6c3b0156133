// Package operatorapi contains the generated HTTP client and server of the operator interface: configuration and status.
package operatorapi
