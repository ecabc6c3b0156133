// Package auth authenticates hosts by TLS certificates, and callers and operators by bearer tokens with rights.
package auth
