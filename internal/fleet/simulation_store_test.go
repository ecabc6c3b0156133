package fleet

import (
	"cmp"
	"slices"

	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
)

// fakeStore is the platform's table of rows in memory, with simulated outages.
type fakeStore struct {
	rows          map[model.DatabaseID]model.Ownership
	revisions     map[model.DatabaseID]model.Revision // revision of the last change of each row
	revision      model.Revision
	down          bool // the table and, unless listUp is set, the list of members are unavailable
	answersToLose int  // number of answers to writes that are still to be lost
	writes        int
	reads         int

	header         *rollout.Header // header in the configuration's row
	headerRevision model.Revision
	objectsDown    bool // the object store with the configurations is unavailable
	listUp         bool // the list of members is available although the table is down
}

// readMembers returns the platform's list.
func (sim *simulation) readMembers() Event {
	if sim.store.down && !sim.store.listUp {
		return MembersRead{Err: errLost}
	}
	var read MembersRead
	for _, h := range sim.hosts {
		if h.listed {
			read.Hosts = append(read.Hosts, h.host)
		}
	}
	for _, item := range sim.instances {
		if item.listed {
			read.Instances = append(read.Instances, item.instance)
		}
	}
	return read
}

// readRows returns the rows that changed after a revision.
func (s *fakeStore) readRows(action ReadRows) Event {
	s.reads++
	if s.down {
		return RowsRead{Err: errLost}
	}
	read := RowsRead{Revision: s.revision}
	for id, row := range s.rows {
		if s.revisions[id] > action.After {
			read.Rows = append(read.Rows, row)
		}
	}
	if s.headerRevision > action.After {
		read.Header = s.header
	}
	slices.SortFunc(read.Rows, func(a, b model.Ownership) int { return cmp.Compare(a.Database, b.Database) })
	return read
}

// commit writes a row if its version matches; the answer may be lost.
func (s *fakeStore) commit(action CommitRow, lost Event) Event {
	if s.down {
		return lost
	}
	s.writes++
	current := s.rows[action.Row.Database]
	committed := current.Version == action.Row.Version
	if committed {
		s.revision++
		current = action.Row
		current.Version++
		s.rows[action.Row.Database] = current
		s.revisions[action.Row.Database] = s.revision
	}
	if s.answersToLose > 0 {
		s.answersToLose--
		return lost
	}
	return RowCommitted{Database: action.Row.Database, Committed: committed, Row: current}
}
