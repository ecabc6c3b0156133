// Package governor holds a host's control state: the directory, the other hosts, each database's primary and the shares of instances.
package controller
