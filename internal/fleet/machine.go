package fleet

import (
	"slices"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/member"
	"redwingspread/internal/model"
	"redwingspread/internal/spread"
	"redwingspread/internal/view"
)

// Machine decides what one host does to keep every database with one owner and one primary; it is reached by one goroutine.
type Machine struct {
	// Self is this host.
	Self model.Host
	// Incarnation tells this run from earlier runs.
	Incarnation model.Incarnation
	// Timing holds the times.
	Timing Timing
	// Policy is the first configuration in force; nil for a host that asks the platform and its peers first.
	Policy *config.Policy
	// NewNonce returns a fresh mark for an attempt to change a row.
	NewNonce func() model.Nonce

	spread    *spread.Machine
	members   *member.Table
	databases map[model.DatabaseID]*database
	order     []model.DatabaseID
	owners    member.Spread[model.DatabaseID, OwnerNews]
	reach     member.Spread[model.InstanceID, InstanceNews]
	instances map[model.InstanceID]*database

	spreadEpoch int // epoch of the members when dead peers were last forgotten

	started   time.Time
	rows      poll
	list      poll
	revision  model.Revision
	loaded    bool // the table has been read
	listed    bool // the platform's list has been read
	stopping  bool
	nextMove  time.Time // no move for balance before then
	dirty     bool
	published *view.View
}

// poll is a repeated read of the platform.
type poll struct {
	busy  bool
	again bool
	next  time.Time
}

// due reports whether the read is to be sent now, and marks it as under way when so.
func (p *poll) due(now time.Time) bool {
	if p.busy || now.Before(p.next) {
		return false
	}
	p.busy = true
	return true
}

// end ends the read; another follows at once when it was asked for meanwhile.
func (p *poll) end(next time.Time) {
	p.busy = false
	p.next = next
	if p.again {
		p.next = time.Time{}
	}
	p.again = false
}

// soon asks for a read that starts after this moment.
func (p *poll) soon() {
	p.next = time.Time{}
	p.again = p.busy
}

// newsPerBeat is the number of databases or instances that one heartbeat tells of.
const newsPerBeat = 8

// New returns a machine whose exported fields are to be set before its first event.
func New() *Machine {
	return &Machine{
		Timing:    DefaultTiming(),
		spread:    spread.New(),
		members:   member.New(),
		databases: make(map[model.DatabaseID]*database),
		instances: make(map[model.InstanceID]*database),
		owners:    member.Spread[model.DatabaseID, OwnerNews]{Limit: newsPerBeat},
		reach:     member.Spread[model.InstanceID, InstanceNews]{Limit: newsPerBeat},
		dirty:     true,
	}
}

// Handle takes one event and returns the actions that follow from it.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	if m.started.IsZero() {
		m.start(now)
	}
	switch event := event.(type) {
	case Tick:
		return m.tick(now)
	case Observed:
		return m.observed(now, event.State)
	case Failed:
		return m.failed(now, event)
	case HeartbeatIn:
		return m.heartbeatIn(now, event)
	case HeartbeatSent:
		return m.heartbeatSent(now, event)
	case Redirected:
		m.hint(OwnerNews{Database: event.Database, Owner: event.Owner, Term: event.Term})
	case PolicyAccepted:
		return m.configure(now, spread.Accepted{Policy: event.Policy})
	case ConfigurationFetched:
		return m.configure(now, spread.Fetched(event))
	case Stop:
		m.stopping = true
		m.dirty = true
		m.members.Leave()
		return m.tick(now)
	case RowsRead:
		return m.rowsRead(now, event)
	case RowCommitted:
		return m.rowCommitted(now, event)
	case MembersRead:
		return m.membersRead(now, event)
	case InstanceResult:
		return m.instanceResult(now, event)
	}
	return nil
}

// start takes over the exported fields.
func (m *Machine) start(now time.Time) {
	m.started = now
	m.members.Self = m.Self
	m.members.Incarnation = m.Incarnation
	m.members.Timing = m.Timing.Member
	m.spread.Handle(now, spread.Accepted{Policy: m.Policy})
}

// tick does everything whose time has come.
func (m *Machine) tick(now time.Time) []Action {
	var actions []Action
	if m.rows.due(now) {
		actions = append(actions, ReadRows{After: m.revision})
	}
	if m.list.due(now) {
		actions = append(actions, ReadMembers{})
	}
	if m.members.Judge(now) {
		m.dirty = true
	}
	for _, id := range m.order {
		known := m.databases[id]
		m.dirty = m.dirty || known.fresh
		known.fresh = false
		actions = append(actions, m.reconcile(now, known)...)
	}
	actions = append(actions, m.configure(now, spread.Ticked{})...)
	return append(actions, m.beats(now)...)
}

// database returns the database with the id, which it adds when new.
func (m *Machine) database(id model.DatabaseID) *database {
	known := m.databases[id]
	if known == nil {
		known = newDatabase(id)
		m.databases[id] = known
		place, _ := slices.BinarySearch(m.order, id)
		m.order = slices.Insert(m.order, place, id)
		m.dirty = true
	}
	return known
}

// rowsRead takes the table's changes.
func (m *Machine) rowsRead(now time.Time, event RowsRead) []Action {
	m.rows.end(now.Add(m.Timing.Poll(m.members.Size())))
	if event.Err != nil {
		return nil
	}
	actions := m.headRead(now, event.Head)
	m.loaded = true
	m.revision = max(m.revision, event.Revision)
	for _, row := range event.Rows {
		m.learn(now, row)
	}
	for _, id := range m.order {
		if known := m.databases[id]; known.doubt {
			known.doubt = m.rows.next.IsZero()
			actions = append(actions, m.reconcile(now, known)...)
		}
	}
	return actions
}

// learn takes one row.
func (m *Machine) learn(now time.Time, row model.Ownership) {
	known := m.database(row.Database)
	dead := m.members.State(row.Owner, row.Incarnation) == view.Dead
	if known.learn(now, row) {
		known.returned = dead
		m.hint(OwnerNews{row.Database, row.Owner, row.Term, row.Primary})
		m.tell(known)
		m.dirty = true
	}
}

// tell spreads who owns a database.
func (m *Machine) tell(d *database) {
	const tellings = 6
	m.owners.Add(d.id, d.hint, tellings*m.members.Rounds())
}

// hint takes news of an owner; it only steers traffic, and makes a replaced owner read the table.
func (m *Machine) hint(news OwnerNews) {
	known := m.databases[news.Database]
	if known == nil || news.Term < known.hint.Term || news == known.hint {
		return
	}
	if news.Term == known.hint.Term && (news.Primary == "" || known.hint.Primary != "") {
		return
	}
	known.hint = news
	m.dirty = true
	if news.Term > known.row.Term {
		m.tell(known)
		m.replaced(known, news.Term)
	}
}

// replaced stops this host's service of a database when a higher term is known, and has the table read.
func (m *Machine) replaced(d *database, term model.Term) {
	if term <= d.row.Term || !m.mine(d) || d.duty.replaced {
		return
	}
	d.duty.replaced = true
	d.duty.serving = false
	d.doubt = true
	m.rows.soon()
	m.dirty = true
}

// mine reports whether the row names this run of this host.
func (m *Machine) mine(d *database) bool {
	return d.row.Version > 0 && d.row.Owner == m.Self.ID && d.row.Incarnation == m.Incarnation
}

// membersRead takes the platform's list.
func (m *Machine) membersRead(now time.Time, event MembersRead) []Action {
	m.list.end(now.Add(2 * m.Timing.Poll(m.members.Size())))
	if event.Err != nil {
		return nil
	}
	m.listed = true
	m.dirty = true
	m.members.List(now, event.Hosts)
	m.listInstances(event.Instances)
	return m.tick(now)
}

// listInstances takes the instances of the platform's list; one that a row still names is kept when it has gone.
func (m *Machine) listInstances(items []model.Instance) {
	present := make(map[model.InstanceID]bool, len(items))
	for _, item := range items {
		present[item.ID] = true
		d := m.database(item.Database)
		m.instances[item.ID] = d
		if known := d.instances[item.ID]; known != nil {
			known.Instance = item
		} else {
			d.instances[item.ID] = newInstance(item)
		}
	}
	for id, d := range m.instances {
		if !present[id] && !slices.Contains(d.row.Instances, id) {
			delete(d.instances, id)
			delete(m.instances, id)
		}
	}
}
