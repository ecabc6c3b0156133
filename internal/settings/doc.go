// Package settings reads each process's settings from flags and environment variables and checks them all at once.
package settings

//go:generate go run ../schemagen ../..
