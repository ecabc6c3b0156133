package config

import "redwingspread/internal/model"

// The default maximum ages of data for reads, in milliseconds.
const (
	rosterMaxAge    Milliseconds = 10_000
	catalogueMaxAge Milliseconds = 30_000
)

// Default returns the built-in configuration, which is in force until operators write one.
func Default() Document {
	return Document{
		Defaults: Defaults{
			Deadline:         5_000,
			QueueLimit:       512,
			TransactionIdle:  10_000,
			TransactionLimit: 60_000,
			RankFloors:       []model.Percent{60, 25, 5},
		},
		Kinds: []Kind{
			writeKind("registration", 15),
			writeKind("payment", 15),
			writeKind("withdrawal", 10),
			writeKind("checkout", 15),
			writeKind("return", 15),
			writeKind("reservation", 10),
			readKind("roster", model.RankTwo, 20).withMaxAge(rosterMaxAge),
			readKind("waitlist", model.RankTwo, 15),
			readKind("counter", model.RankTwo, 20),
			readKind("catalogue", model.RankTwo, 20).withMaxAge(catalogueMaxAge),
			readKind("report", model.RankThree, 30),
			readKind("inventory", model.RankThree, 30),
		},
		Exceptions: []Exception{},
	}
}

// writeKind returns a kind of rank one that writes.
func writeKind(name model.KindID, floor model.Percent) Kind {
	return Kind{Name: name, Rank: model.RankOne, Access: model.Write, Durability: model.DurabilityReplica, Floor: floor}
}

// readKind returns a kind that reads.
func readKind(name model.KindID, rank model.Rank, floor model.Percent) Kind {
	return Kind{Name: name, Rank: rank, Access: model.Read, Repeatable: true, Durability: model.DurabilityNone, Floor: floor}
}

// withMaxAge returns the kind with the maximum age of data that its reads accept.
func (k Kind) withMaxAge(age Milliseconds) Kind {
	k.MaxAge = &age
	return k
}
