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

	rollout       *rollout.Machine
	prunedEpoch   int                            // epoch of the members when dead peers were last forgotten
	headerRead    bool                           // the configuration's row has been read
	peerAddresses map[model.HostID]model.Address // where peers say that they are

	members            *member.Table
	live               liveHosts
	databases          map[model.DatabaseID]*database
	databaseIDs        []model.DatabaseID
	ownerGossip        member.GossipQueue[model.DatabaseID, OwnerUpdate]
	instanceGossip     member.GossipQueue[model.InstanceID, InstanceUpdate]
	databaseByInstance map[model.InstanceID]*database

	started        time.Time
	rowPoll        poll
	listPoll       poll
	commits        poll // only the limit of a call is used
	revision       model.Revision
	rowsLoaded     bool       // the table has been read, here or by a peer
	listLoaded     bool       // the platform's list has been read, here or by a peer
	seedPeer       model.Host // a peer that can tell what the platform can't
	stopping       bool
	nextRebalance  time.Time // no move for balance before then
	dirty          bool
	rotation       idleRotation
	dirtyDatabases []*database // whose instances told their states since the last view
	published      *view.View
	logEntries     []Action
}

// updatesPerHeartbeat is the number of databases or instances that one heartbeat tells of.
const updatesPerHeartbeat = 8

// New returns a machine whose exported fields are to be set before its first event.
func New() *Machine {
	return &Machine{
		Timing:             DefaultTiming(),
		rollout:            rollout.New(),
		peerAddresses:      make(map[model.HostID]model.Address),
		members:            member.New(),
		databases:          make(map[model.DatabaseID]*database),
		databaseByInstance: make(map[model.InstanceID]*database),
		ownerGossip:        member.GossipQueue[model.DatabaseID, OwnerUpdate]{Limit: updatesPerHeartbeat},
		instanceGossip:     member.GossipQueue[model.InstanceID, InstanceUpdate]{Limit: updatesPerHeartbeat},
		rowPoll:            newPoll(),
		listPoll:           newPoll(),
		commits:            newPoll(),
		dirty:              true,
	}
}

// Handle takes one event and returns the actions that follow from it.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	if m.started.IsZero() {
		m.start(now)
	}
	actions := append(m.dispatch(now, event), m.logEntries...)
	m.logEntries = nil
	return actions
}

// dispatch takes one event by its kind.
func (m *Machine) dispatch(now time.Time, event Event) []Action {
	switch event := event.(type) {
	case Tick:
		return m.tick(now)
	case StateObserved:
		return m.handleStateObserved(now, event.State)
	case InstanceFailed:
		return m.handleInstanceFailed(now, event)
	case HeartbeatReceived:
		return m.handleHeartbeatReceived(now, event)
	case HeartbeatSent:
		return m.handleHeartbeatSent(now, event)
	case Redirected:
		m.applyOwnerUpdate(OwnerUpdate{Database: event.Database, Owner: event.Owner, Term: event.Term})
	case PolicyAccepted:
		return m.handleRollout(now, rollout.Accepted{Policy: event.Policy})
	case ConfigurationFetched:
		return m.handleRollout(now, rollout.Fetched(event))
	case Stop:
		return m.stop(now)
	case FleetRequested:
		return []Action{AnswerFleet{Answer: event.Answer, Fleet: m.knownFleet()}}
	case FleetRead:
		return m.handleFleetRead(now, event)
	case RowsRead:
		return m.handleRowsRead(now, event)
	case RowCommitted:
		return m.handleRowCommitted(now, event)
	case MembersRead:
		return m.handleMembersRead(now, event)
	case InstanceResult:
		return m.handleInstanceResult(now, event)
	}
	return nil
}

// start takes over the exported fields.
func (m *Machine) start(now time.Time) {
	m.started = now
	m.members.Self = m.Self
	m.members.Incarnation = m.Incarnation
	m.members.Timing = m.Timing.Member
	m.rollout.Handle(now, rollout.Accepted{Policy: m.Policy})
}

// tick does everything whose time has come.
func (m *Machine) tick(now time.Time) []Action {
	var actions []Action
	if m.rowPoll.startIfDue(now) {
		actions = append(actions, ReadRows{After: m.revision, Timeout: m.rowPoll.timeout})
	}
	if m.listPoll.startIfDue(now) {
		actions = append(actions, ReadMembers{Timeout: m.listPoll.timeout})
	}
	if m.members.DetectFailures(now) {
		m.dirty = true
	}
	m.logHostChanges()
	m.rotation.nextTick(len(m.databaseIDs), m.members.Epoch())
	for place, id := range m.databaseIDs {
		known := m.databases[id]
		if known.dirty {
			m.dirtyDatabases = append(m.dirtyDatabases, known)
			known.dirty = false
		}
		if known.idle && m.rotation.skips(place) {
			continue
		}
		known.idle = m.isIdle(now, known)
		if !known.idle {
			actions = append(actions, m.reconcile(now, known)...)
		}
	}
	actions = append(actions, m.handleRollout(now, rollout.Ticked{})...)
	return append(actions, m.sendHeartbeats(now)...)
}

// stop begins the graceful stop: the other hosts learn that this one leaves and take its databases over.
func (m *Machine) stop(now time.Time) []Action {
	m.stopping = true
	m.dirty = true
	m.members.Leave()
	return m.tick(now)
}

// ensureDatabase returns the database with the id, which it adds when new.
func (m *Machine) ensureDatabase(id model.DatabaseID) *database {
	known := m.databases[id]
	if known == nil {
		known = newDatabase(id)
		m.databases[id] = known
		place, _ := slices.BinarySearch(m.databaseIDs, id)
		m.databaseIDs = slices.Insert(m.databaseIDs, place, id)
		m.dirty = true
	}
	return known
}
