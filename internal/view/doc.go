// Package view defines the immutable snapshot that the control thread publishes and traffic threads read without locks.
package view
