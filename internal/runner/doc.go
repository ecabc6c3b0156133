// Package runner performs the actions of the fleet state machine: calls to the platform, to instances and to other hosts.
package runner
