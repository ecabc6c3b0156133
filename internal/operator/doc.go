// Package operator is the operator interface: configuration, status, metrics and a page to look at.
package operator
