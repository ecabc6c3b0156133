// Package explain follows one request through the hosts' logs to the cause of its refusal; it is pure but for reading lines.
package explain
