// Package daemon puts one host together: control loop, caller, peer and operator interfaces.
package daemon
