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

// Machine decides what one host does so that every database has one owner and one primary. It is not safe for concurrent use.
type Machine struct {
	// Self is this host.
	Self model.Host
	// Incarnation distinguishes this run of the host from earlier ones.
	Incarnation model.Incarnation
	// Timing holds the intervals and timeouts.
	Timing Timing
	// Policy is the initial configuration in force; nil for a host that gets it from the platform or a peer.
	Policy *config.Policy
	// NewNonce returns a unique id for an attempt to write a row.
	NewNonce func() model.Nonce

	rollout       *rollout.Machine
	prunedEpoch   int                            // epoch of the members at which dead peers were last removed from the rollout
	headerRead    bool                           // the configuration's row has been read, or found missing
	peerAddresses map[model.HostID]model.Address // addresses that peers announced in heartbeats

	members            *member.Table
	live               liveHosts
	databases          map[model.DatabaseID]*database
	databaseIDs        []model.DatabaseID                                   // sorted
	ownerGossip        member.GossipQueue[model.DatabaseID, OwnerUpdate]    // updates still to be sent
	instanceGossip     member.GossipQueue[model.InstanceID, InstanceUpdate] // updates still to be sent
	databaseByInstance map[model.InstanceID]*database

	started        time.Time
	rowPoll        poll
	listPoll       poll
	commits        poll           // only its timeout is used
	revision       model.Revision // revision up to which the rows have been read
	rowsLoaded     bool           // the rows have been read from the platform or a peer
	listLoaded     bool           // the platform's list has been read from the platform or a peer
	seedPeer       model.Host     // peer to ask for the fleet when the platform is unreachable
	stopping       bool
	nextRebalance  time.Time // earliest time of the next takeover for balance
	dirty          bool      // the next view has to be built anew
	rotation       idleRotation
	dirtyDatabases []*database // databases with instances that reported their states since the last view
	published      *view.View  // last view
	logEntries     []Action    // log entries of the event being processed
}

// updatesPerHeartbeat is the maximum number of updates of each kind in one heartbeat.
const updatesPerHeartbeat = 8

// New returns a machine. Its exported fields have to be set before the first event.
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

// Handle processes one event and returns the resulting actions.
func (m *Machine) Handle(now time.Time, event Event) []Action {
	if m.started.IsZero() {
		m.start(now)
	}
	actions := append(m.dispatch(now, event), m.logEntries...)
	m.logEntries = nil
	return actions
}

// dispatch calls the handler of the event.
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
	case HeartbeatResult:
		return m.handleHeartbeatResult(now, event)
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

// start initializes the machine from its exported fields.
func (m *Machine) start(now time.Time) {
	m.started = now
	m.members.Self = m.Self
	m.members.Incarnation = m.Incarnation
	m.members.Timing = m.Timing.Member
	m.rollout.Handle(now, rollout.Accepted{Policy: m.Policy})
}

// tick does everything that is due.
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
	for index, id := range m.databaseIDs {
		d := m.databases[id]
		if d.dirty {
			m.dirtyDatabases = append(m.dirtyDatabases, d)
			d.dirty = false
		}
		if d.idle && m.rotation.skips(index) {
			continue
		}
		d.idle = m.isIdle(now, d)
		if !d.idle {
			actions = append(actions, m.reconcile(now, d)...)
		}
	}
	actions = append(actions, m.handleRollout(now, rollout.Ticked{})...)
	return append(actions, m.sendHeartbeats(now)...)
}

// stop begins the graceful stop: the other hosts learn that this one is leaving and take its databases over.
func (m *Machine) stop(now time.Time) []Action {
	m.stopping = true
	m.dirty = true
	m.members.Leave()
	return m.tick(now)
}

// ensureDatabase returns the database with the id, adding it if it is unknown.
func (m *Machine) ensureDatabase(id model.DatabaseID) *database {
	d := m.databases[id]
	if d == nil {
		d = newDatabase(id)
		m.databases[id] = d
		index, _ := slices.BinarySearch(m.databaseIDs, id)
		m.databaseIDs = slices.Insert(m.databaseIDs, index, id)
		m.dirty = true
	}
	return d
}
