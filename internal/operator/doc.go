// Package operator serves the operator interface: configuration, status, metrics and a read-only status page.
package operator
