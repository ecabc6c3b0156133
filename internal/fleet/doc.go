// Package fleet decides who may write: membership, ownership, terms, fencing and promotion, as a pure machine, and runs its actions.
package fleet
