// Package fleet decides which host owns a database and which instance is its primary. It covers membership, ownership, terms,
// fencing and promotion.
//
// It has no I/O: the machine takes events and returns actions.
package fleet
