package fleet

// manyDatabases is the number of databases from which idle ones are looked at in turns.
const manyDatabases = 256

// turnsOfRound is the number of ticks in which every idle database is looked at once.
const turnsOfRound = 4

// turns spreads the looks at idle databases of a large fleet over several ticks.
type turns struct {
	turn  int
	all   bool // this tick looks at every database
	epoch int
}

// next begins a tick; a small fleet and a change of the members make it look at every database.
func (t *turns) next(databases, epoch int) {
	t.turn = (t.turn + 1) % turnsOfRound
	t.all = databases < manyDatabases || epoch != t.epoch
	t.epoch = epoch
}

// skips reports whether the idle database at the place is not looked at in this tick.
func (t *turns) skips(place int) bool {
	return !t.all && place%turnsOfRound != t.turn
}
