// Package history records what sessions asked and were told, and checks it against the promises of the system.
package history
