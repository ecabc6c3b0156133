// Package measure takes the measures of the system with real daemons on loopback against the stand-ins.
package measure
