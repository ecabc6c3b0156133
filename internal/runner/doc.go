// Package runner performs the actions of the fleet's machine: calls of the platform, of instances and of other hosts.
package runner
