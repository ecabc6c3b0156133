// Package outlier finds instances of a database that fail more of their statements than the others do, and decides how many reads they get; it does no I/O and reads no clock.
package outlier
