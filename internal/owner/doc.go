// Package owner runs statements and transactions on the instances of the databases that this host owns.
package owner
