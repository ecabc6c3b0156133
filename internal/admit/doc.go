// Package admit is admission control: generic queues and scheduling policies that decide which waiting work runs next.
//
// It does no I/O and reads no clock; callers pass in the current time.
package admit
