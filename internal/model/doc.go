// Package model holds the named ids, units and plain structs that all decisions share.
package model
