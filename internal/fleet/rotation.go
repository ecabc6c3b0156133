package fleet

// rotationThreshold is the number of databases from which idle ones are looked at in turns.
const rotationThreshold = 256

// ticksPerRound is the number of ticks in which every idle database is looked at once.
const ticksPerRound = 4

// idleRotation spreads the looks at idle databases of a large fleet over several ticks.
type idleRotation struct {
	phase    int
	checkAll bool // this tick looks at every database
	epoch    int
}

// nextTick begins a tick; a small fleet and a change of the members make it look at every database.
func (t *idleRotation) nextTick(databases, epoch int) {
	t.phase = (t.phase + 1) % ticksPerRound
	t.checkAll = databases < rotationThreshold || epoch != t.epoch
	t.epoch = epoch
}

// skips reports whether the idle database at the place is not looked at in this tick.
func (t *idleRotation) skips(place int) bool {
	return !t.checkAll && place%ticksPerRound != t.phase
}
