// Package controller holds the control state of a host that runs package front: the directory, the other hosts, the primary of
// each database and this host's share of each instance.
package controller
