package front

import (
	"sync/atomic"

	"redwingspread/internal/model"
)

// startVersions tells whether the configuration that a process has read at its start is older than that of the live hosts, which a
// replica of the store may give out. Once it has been level with them, newer ones only come in.
type startVersions struct {
	heard atomic.Uint64 // greatest version heard of from a live host
	level atomic.Bool   // the process has had that version
}

// note records the version of a live host's configuration.
func (v *startVersions) note(version model.Version) {
	for {
		known := v.heard.Load()
		if known >= uint64(version) || v.heard.CompareAndSwap(known, uint64(version)) {
			return
		}
	}
}

// behind reports whether the process has never been level with the live hosts, given the version in force.
func (v *startVersions) behind(version model.Version) bool {
	heard := v.heard.Load()
	if heard == 0 || v.level.Load() {
		return false
	}
	if uint64(version) < heard {
		return true
	}
	v.level.Store(true)
	return false
}
