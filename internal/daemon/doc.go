// Package daemon assembles and runs one host: its control loop and its caller, peer and operator APIs.
package daemon
