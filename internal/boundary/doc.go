// Package boundary turns a panic into an error, so that it ends one connection, message or event and not the process.
package boundary
