// Package cli holds the commands of the program, one file each.
package cli
