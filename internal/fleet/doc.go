// Package fleet decides who may write: membership, ownership, terms, fencing and promotion, as a pure machine.
package fleet
