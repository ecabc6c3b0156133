// Package owner runs work on the databases that this host owns.
package owner
