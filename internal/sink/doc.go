// Package sink writes log entries as JSON lines without ever holding up who logs them, and within a bound for each event.
package sink
