// Package scheduler schedules the statements that one host sends to one instance, and shares the host's connections to that
// instance among its sessions.
package scheduler
