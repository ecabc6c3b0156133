// Package event logs the numbered events of the catalogue in docs/EVENTS.md.
package event
