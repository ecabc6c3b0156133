package model

// Rank orders work by urgency.
type Rank uint8

// The ranks, most urgent first.
const (
	RankOne   Rank = 1
	RankTwo   Rank = 2
	RankThree Rank = 3
)

// RankCount is the number of ranks.
const RankCount = 3

// Index returns the rank's place in an array of Ranks elements.
func (r Rank) Index() int {
	return int(r) - 1
}

// Valid reports whether the rank is one of the three.
func (r Rank) Valid() bool {
	return r >= RankOne && r <= RankThree
}

// Access tells a read from a write.
type Access string

// The two kinds of access.
const (
	Read  Access = "read"
	Write Access = "write"
)

// Durability tells what an acknowledged write survives.
type Durability string

// The levels of durability.
const (
	DurabilityNone    Durability = "none"
	DurabilityPrimary Durability = "primary"
	DurabilityReplica Durability = "replica"
)
