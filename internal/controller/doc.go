// Package controller holds the control state of one host: the directory, the other hosts, the primary of each database and this host's share of each instance.
package controller
