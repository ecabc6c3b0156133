// Package clock reads the boot-time clock and sleeps until a context ends.
package clock
