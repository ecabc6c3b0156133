// Package operator serves the operator API: configuration, status, metrics and a read-only status page.
package operator
