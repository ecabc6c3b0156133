// Package settings reads the settings of each process from flags, environment variables and an optional file. It checks all of
// them and reports every invalid one.
package settings

//go:generate go run ../schemagen ../..
