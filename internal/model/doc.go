// Package model defines the ids, units and plain structs that the other packages share.
package model
