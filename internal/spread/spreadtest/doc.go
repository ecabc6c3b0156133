// Package spreadtest holds a small fake of the platform for tests of the configuration's spread.
package spreadtest
