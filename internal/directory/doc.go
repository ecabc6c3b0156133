// Package directory holds what a host knows of kinds of work, databases and instances, and how news change it; it is pure.
package directory
