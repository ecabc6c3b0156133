package fleet

import (
	"slices"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/member"
	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
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

	spread      *rollout.Machine
	spreadEpoch int                            // epoch of the members when dead peers were last forgotten
	headSeen    bool                           // the configuration's row has been read
	told        map[model.HostID]model.Address // where peers say that they are

	members   *member.Table
	live      live
	databases map[model.DatabaseID]*database
	order     []model.DatabaseID
	owners    member.GossipQueue[model.DatabaseID, OwnerNews]
	reach     member.GossipQueue[model.InstanceID, InstanceNews]
	instances map[model.InstanceID]*database

	started   time.Time
	rows      poll
	list      poll
	commits   poll // only the limit of a call is used
	revision  model.Revision
	loaded    bool       // the table has been read, here or by a peer
	listed    bool       // the platform's list has been read, here or by a peer
	seed      model.Host // a peer that can tell what the platform can't
	stopping  bool
	nextMove  time.Time // no move for balance before then
	dirty     bool
	turns     turns
	freshened []*database // whose instances told their states since the last view
	published *view.View
	notes     []Action
}

// newsPerBeat is the number of databases or instances that one heartbeat tells of.
const newsPerBeat = 8

// New returns a machine whose exported fields are to be set before its first event.
func New() *Machine {
	return &Machine{
		Timing:    DefaultTiming(),
		spread:    rollout.New(),
		told:      make(map[model.HostID]model.Address),
		members:   member.New(),
		databases: make(map[model.DatabaseID]*database),
		instances: make(map[model.InstanceID]*database),
		owners:    member.GossipQueue[model.DatabaseID, OwnerNews]{Limit: newsPerBeat},
		reach:     member.GossipQueue[model.InstanceID, InstanceNews]{Limit: newsPerBeat},
		rows:      newPoll(),
		list:      newPoll(),
		commits:   newPoll(),
		dirty:     true,
	}
}

// Handle takes one event and returns the actions that follow from it.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	if m.started.IsZero() {
		m.start(now)
	}
	actions := append(m.handle(now, event), m.notes...)
	m.notes = nil
	return actions
}

// handle takes one event by its kind.
func (m *Machine) handle(now time.Time, event Event) []Action {
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
		return m.configure(now, rollout.Accepted{Policy: event.Policy})
	case ConfigurationFetched:
		return m.configure(now, rollout.Fetched(event))
	case Stop:
		return m.stop(now)
	case FleetAsked:
		return []Action{AnswerFleet{Answer: event.Answer, Fleet: m.fleet()}}
	case FleetRead:
		return m.fleetRead(now, event)
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
	m.spread.Handle(now, rollout.Accepted{Policy: m.Policy})
}

// tick does everything whose time has come.
func (m *Machine) tick(now time.Time) []Action {
	var actions []Action
	if m.rows.due(now) {
		actions = append(actions, ReadRows{After: m.revision, Limit: m.rows.limit})
	}
	if m.list.due(now) {
		actions = append(actions, ReadMembers{Limit: m.list.limit})
	}
	if m.members.DetectFailures(now) {
		m.dirty = true
	}
	m.noteHosts()
	m.turns.next(len(m.order), m.members.Epoch())
	for place, id := range m.order {
		known := m.databases[id]
		if known.fresh {
			m.freshened = append(m.freshened, known)
			known.fresh = false
		}
		if known.idle && m.turns.skips(place) {
			continue
		}
		known.idle = m.idle(now, known)
		if !known.idle {
			actions = append(actions, m.reconcile(now, known)...)
		}
	}
	actions = append(actions, m.configure(now, rollout.Ticked{})...)
	return append(actions, m.beats(now)...)
}

// stop begins the graceful stop: the other hosts learn that this one leaves and take its databases over.
func (m *Machine) stop(now time.Time) []Action {
	m.stopping = true
	m.dirty = true
	m.members.Leave()
	return m.tick(now)
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
