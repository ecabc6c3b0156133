// Package trust holds who may speak to a host: certificates between hosts, bearer tokens and roles, limits against slow clients.
package auth
