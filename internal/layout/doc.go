// Package layout holds tests of the code's structure: packages that decide do not depend on messages, clocks or sockets, and only
// the platform's adapter contains the platform's names.
package layout
