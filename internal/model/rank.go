package model

// Rank is the priority of work.
type Rank uint8

// The ranks, most urgent first.
const (
	RankOne   Rank = 1
	RankTwo   Rank = 2
	RankThree Rank = 3
)

// RankCount is the number of ranks.
const RankCount = 3

// Index returns the rank's index in an array of RankCount elements.
func (r Rank) Index() int {
	return int(r) - 1
}

// Valid reports whether the rank is one of the defined ones.
func (r Rank) Valid() bool {
	return r >= RankOne && r <= RankThree
}

// Access is the kind of access of a statement, read or write.
type Access string

// The kinds of access.
const (
	Read  Access = "read"
	Write Access = "write"
)

// Durability is the degree to which an acknowledged write survives failures.
type Durability string

// The levels of durability.
const (
	DurabilityNone    Durability = "none"
	DurabilityPrimary Durability = "primary"
	DurabilityReplica Durability = "replica"
)
