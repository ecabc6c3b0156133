// Package sink writes log entries as JSON lines. It never blocks the code that logs, and limits the rate of each event.
package sink
