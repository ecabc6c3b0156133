// Package operatorapi is the generated operator interface: configuration and status.
package operatorapi
