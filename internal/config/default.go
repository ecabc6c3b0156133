package config

import "redwingspread/internal/model"

// The ages that reads accept by default.
const (
	rosterAge    Milliseconds = 10_000
	catalogueAge Milliseconds = 30_000
)

// Default returns the configuration that is in force until operators write one.
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
			write("registration", 15),
			write("payment", 15),
			write("withdrawal", 10),
			write("checkout", 15),
			write("return", 15),
			write("reservation", 10),
			read("roster", model.RankTwo, 20).accepting(rosterAge),
			read("waitlist", model.RankTwo, 15),
			read("counter", model.RankTwo, 20),
			read("catalogue", model.RankTwo, 20).accepting(catalogueAge),
			read("report", model.RankThree, 30),
			read("inventory", model.RankThree, 30),
		},
		Exceptions: []Exception{},
	}
}

// write returns an urgent kind that writes.
func write(name model.KindID, floor model.Percent) Kind {
	return Kind{Name: name, Rank: model.RankOne, Access: model.Write, Durability: model.DurabilityReplica, Floor: floor}
}

// read returns a kind that reads.
func read(name model.KindID, rank model.Rank, floor model.Percent) Kind {
	return Kind{Name: name, Rank: rank, Access: model.Read, Repeatable: true, Durability: model.DurabilityNone, Floor: floor}
}

// accepting returns the kind with the age that its reads accept.
func (k Kind) accepting(age Milliseconds) Kind {
	k.MaxAge = &age
	return k
}
