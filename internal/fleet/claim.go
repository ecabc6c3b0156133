package fleet

import (
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// need is the reason why a database should get another owner.
type need int

// The reasons, the weakest first.
const (
	needNone     need = iota
	needBalance       // this host is the preferred one
	needHandover      // the owner leaves
	needReach         // the owner does not reach the primary, others do
	needOwner         // the owner is dead
	needRow           // there is no row yet
)

// needNames are the reasons as the log tells them.
var needNames = map[need]string{
	needBalance:  "balance",
	needHandover: "owner leaves",
	needReach:    "owner does not reach the primary",
	needOwner:    "owner is dead",
	needRow:      "new database",
}

// String returns the reason as the log tells it.
func (n need) String() string {
	return needNames[n]
}

// questionFor is the time for which a question about an instance counts.
const questionFor = time.Second

// moveEvery is the least time between two moves for balance by one host.
const moveEvery = time.Second

// need tells why the database should get another owner.
func (m *Machine) need(now time.Time, d *database) need {
	switch {
	case d.row.Version == 0:
		return needRow
	case m.members.State(d.row.Owner, d.row.Incarnation) == view.Dead:
		return needOwner
	case m.members.State(d.row.Owner, d.row.Incarnation) == view.Leaving:
		return needHandover
	case m.cutOff(now, d):
		return needReach
	case m.unbalanced(now, d):
		return needBalance
	}
	return needNone
}

// cutOff reports whether the owner asks about an instance that it needs and that this host reaches.
func (m *Machine) cutOff(now time.Time, d *database) bool {
	for _, member := range d.group() {
		needed := d.row.Primary == "" || member.ID == d.row.Primary
		asked := member.asker == d.row.Owner && now.Sub(member.asked) < questionFor
		if needed && asked && member.answers() && member.observed.After(member.asked.Add(-questionFor)) {
			return true
		}
	}
	return false
}

// lossesMost bounds the doubling of the time before a database comes back to a host that keeps losing it.
const lossesMost = 6

// unbalanced reports whether the database has been quiet for long and this host is its preferred owner.
func (m *Machine) unbalanced(now time.Time, d *database) bool {
	quiet := m.Timing.Stable << min(d.losses, lossesMost)
	if now.Sub(d.changed) < quiet || now.Sub(m.started) < m.Timing.Stable ||
		m.members.State(d.row.Owner, d.row.Incarnation) != view.Alive {
		return false
	}
	return m.preferred(d) == m.Self.ID
}

// preferred returns the first of the candidates, without ordering the others.
func (m *Machine) preferred(d *database) model.HostID {
	m.live.refresh(m.members)
	primary := d.primaryOf()
	if d.preferredEpoch != m.live.epoch || d.preferredNear != primary.ID || d.preferred == "" {
		d.preferred = best(d.id, m.live.nearest(primary))
		d.preferredEpoch = m.live.epoch
		d.preferredNear = primary.ID
	}
	return d.preferred
}

// candidates returns the live hosts in the order in which they should own the database.
func (m *Machine) candidates(d *database) []model.HostID {
	m.live.refresh(m.members)
	primary := d.primaryOf()
	if d.epoch != m.live.epoch || d.near != primary.ID || d.candidates == nil {
		d.candidates = rank(d.id, primary, m.live.all)
		d.epoch = m.live.epoch
		d.near = primary.ID
	}
	return d.candidates
}

// place returns this host's place among the candidates without the present owner, or -1.
func (m *Machine) place(d *database) int {
	place := 0
	for _, host := range m.candidates(d) {
		if host == m.Self.ID {
			return place
		}
		if host != d.row.Owner {
			place++
		}
	}
	return -1
}

// considerTakeover takes the database over when it needs another owner and it is this host's turn.
func (m *Machine) considerTakeover(now time.Time, d *database) []Action {
	why := m.need(now, d)
	if why == needNone {
		d.since = time.Time{}
		return nil
	}
	if d.since.IsZero() {
		d.since = now
	}
	place := m.place(d)
	if place < 0 || now.Before(d.since.Add(time.Duration(place)*m.Timing.Stagger)) {
		return nil
	}
	if d.returned && why == needOwner && now.Sub(d.changed) < m.Timing.Hold {
		return nil
	}
	return m.take(now, d, why)
}

// take claims the database when it is known what to do with its primary.
func (m *Machine) take(now time.Time, d *database, why need) []Action {
	if why == needRow {
		return m.create(now, d)
	}
	primary := d.instances[d.row.Primary]
	switch {
	case why == needBalance && now.Before(m.nextMove):
		return nil
	case d.row.Primary == "" && d.answering() >= d.majority():
		return m.claim(now, d, "", why.String())
	case primary == nil:
		return nil
	case primary.answers():
		m.nextMove = now.Add(moveEvery)
		return m.claim(now, d, primary.ID, why.String())
	case why == needOwner && m.primaryLost(now, d, primary):
		return m.claim(now, d, "", why.String()+", primary is lost")
	}
	return nil
}

// create claims a database that has no row: its first primary is the instance that says so.
func (m *Machine) create(now time.Time, d *database) []Action {
	if !m.listed || !m.loaded || len(d.instances) == 0 {
		return nil
	}
	var first *instance
	for _, id := range d.listed() {
		item := d.instances[id]
		if !item.answers() || item.state.Role != model.RolePrimary {
			continue
		}
		if first == nil || standing(item.state).Compare(standing(first.state)) > 0 {
			first = item
		}
	}
	if first == nil {
		return nil
	}
	return m.claim(now, d, first.ID, needRow.String())
}

// claim makes this host the owner in a new term; without a primary a majority has to be fenced and the best one promoted.
func (m *Machine) claim(now time.Time, d *database, primary model.InstanceID, reason string) []Action {
	return m.claimWith(now, d, primary, m.groupOf(d), reason)
}

// claimWith claims the database with the group.
func (m *Machine) claimWith(now time.Time, d *database, primary model.InstanceID, group []model.InstanceID, reason string) []Action {
	row := model.Ownership{
		Database:    d.id,
		Owner:       m.Self.ID,
		Incarnation: m.Incarnation,
		Term:        d.highest() + 1,
		Primary:     primary,
		Instances:   group,
		Timeline:    m.timelineOf(d),
	}
	actions := m.write(now, d, row)
	if len(actions) > 0 {
		d.plan = nil
		d.planned = false
		m.note(Note{Kind: NoteClaimed, Database: d.id, Term: row.Term, Instance: primary, Reason: reason})
	}
	return actions
}

// groupOf returns the row's group, or all listed instances of a database without a row.
func (m *Machine) groupOf(d *database) []model.InstanceID {
	if d.row.Version > 0 {
		return d.row.Instances
	}
	return d.listed()
}

// timelineOf returns the newest timeline that is known of the primary's log.
func (m *Machine) timelineOf(d *database) model.Timeline {
	if primary := d.primary(); primary != nil && len(primary.state.Timeline) > 0 {
		return recent(primary.state.Timeline)
	}
	return recent(d.row.Timeline)
}

// write sends one change of the row, unless one is under way or the last one's fate is open.
func (m *Machine) write(now time.Time, d *database, row model.Ownership) []Action {
	if d.commit || d.doubt || now.Before(d.retry) {
		return nil
	}
	row.Nonce = m.NewNonce()
	row.Version = d.row.Version
	d.commit = true
	d.sent = now
	return []Action{CommitRow{Row: row, Limit: m.commits.limit}}
}

// rowCommitted takes the end of a change: a lost answer is settled by reading the row.
func (m *Machine) rowCommitted(now time.Time, event RowCommitted) []Action {
	d := m.databases[event.Database]
	if d == nil {
		return nil
	}
	d.commit = false
	d.retry = now.Add(m.Timing.Retry)
	m.commits.learn(now.Sub(d.sent), event.Err)
	if event.Err != nil {
		d.doubt = true
		m.rows.soon()
		return nil
	}
	if event.Committed {
		d.retry = time.Time{}
	} else {
		d.plan = nil
	}
	if event.Row.Version > 0 {
		m.learn(now, event.Row)
	}
	return m.reconcile(now, d)
}
