// Package event logs the numbered events that docs/EVENTS.md lists.
package event
