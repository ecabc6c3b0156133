package fleet

// rotationThreshold is the number of databases from which idle ones are not checked on every tick.
const rotationThreshold = 256

// ticksPerRound is the number of ticks in which every idle database is checked once.
const ticksPerRound = 4

// idleRotation spreads the checks of idle databases in a large fleet over several ticks.
type idleRotation struct {
	phase    int
	checkAll bool // every database is checked on this tick
	epoch    int
}

// nextTick begins a tick. It checks every database in a small fleet or after a change of the members.
func (t *idleRotation) nextTick(databases, epoch int) {
	t.phase = (t.phase + 1) % ticksPerRound
	t.checkAll = databases < rotationThreshold || epoch != t.epoch
	t.epoch = epoch
}

// skips reports whether the idle database with the index is not checked on this tick.
func (t *idleRotation) skips(index int) bool {
	return !t.checkAll && index%ticksPerRound != t.phase
}
