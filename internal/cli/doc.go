// Package cli defines the command line of the program; each command has a file of its own.
package cli
