// Package session holds the session token: what a session has seen of each database, signed and bounded in size.
package session
