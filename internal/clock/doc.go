// Package clock waits for time to pass without outliving a context.
package clock
