// Package demo shows the system at work: both users' stand-ins and hosts in one process.
package demo
