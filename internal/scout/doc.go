// Package scout decides which hosts ask the primaries for their log positions on behalf of the others.
//
// In a fleet with more hosts than an instance has connections, a few hosts of each data centre, its scouts, probe idle primaries;
// the others ask one of them. A position counts from the time at which the asking host sent a question that reached the scout
// before the scout asked the primary, so that it never looks newer than it is.
//
// The package has no I/O: messages and the time come in as arguments.
package scout
