// Package session holds the state of a caller's session, and the signed session token that carries the log positions a
// session has observed.
package session
