// Package auth authenticates hosts by TLS certificates, and callers and operators by bearer tokens, each of which has a role.
package auth
