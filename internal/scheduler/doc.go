// Package scheduler schedules the statements that one host sends to one instance, and shares the host's connections to that
// instance among its sessions.
//
// It serves package front, whose hosts share the instances; its counterpart for package owner is package dispatch.
package scheduler
