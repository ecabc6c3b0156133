// Package measure runs the benchmarks of the system: real daemons on the loopback interface against stand-ins.
package measure
