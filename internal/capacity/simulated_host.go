package capacity

import (
	"fmt"
	"math/bits"
	"time"

	"redwingspread/internal/fleet"
	"redwingspread/internal/member"
	"redwingspread/internal/model"
)

// tickInterval is the time between two ticks of a host's control loop.
const tickInterval = 20 * time.Millisecond

// traffic counts the messages of the control loop and, except for commits, their bytes, which include HTTP overhead.
type traffic struct {
	heartbeats int   // sent and received, without their responses
	probes     int   // calls to instances
	storeReads int   // reads of the ownership table and of the member list
	commits    int   // writes of ownership rows
	peerBytes  Bytes // of heartbeats and their responses
	probeBytes Bytes // of calls to instances, without request bodies
	storeBytes Bytes // of store reads
}

// simulatedHost is the control loop of one host on a virtual clock. Its environment responds without delay.
type simulatedHost struct {
	machine       *fleet.Machine
	environment   *environment
	now           time.Time
	pending       []fleet.Event // events to handle in the current tick
	traffic       traffic
	sequence      model.Sequence // sequence number of the last received heartbeats
	nextHeartbeat time.Time      // time of the next received heartbeats
	nonceCount    int            // nonces generated

	memberListBytes Bytes // encoded size of the platform's list of members
	framing         Bytes // HTTP overhead of one call, request and response
}

// newSimulatedHost returns a simulation of the environment's first host.
func newSimulatedHost(e *environment, framing Bytes) *simulatedHost {
	h := &simulatedHost{environment: e, now: time.Unix(1_800_000_000, 0), memberListBytes: memberListSize(e.hosts, e.instances), framing: framing}
	h.machine = fleet.New()
	h.machine.Self = e.hosts[0]
	h.machine.Incarnation = incarnation
	h.machine.NewNonce = func() model.Nonce {
		h.nonceCount++
		return model.Nonce(fmt.Sprintf("nonce%d", h.nonceCount))
	}
	return h
}

// advance runs the control loop for the given virtual time.
func (h *simulatedHost) advance(duration time.Duration) {
	for end := h.now.Add(duration); h.now.Before(end); h.now = h.now.Add(tickInterval) {
		h.handle(fleet.Tick{})
		h.receiveHeartbeats()
		for len(h.pending) > 0 {
			event := h.pending[0]
			h.pending = h.pending[1:]
			h.handle(event)
		}
	}
}

// handle handles one event as the real control loop does: it decides, publishes a snapshot and performs the actions.
func (h *simulatedHost) handle(event fleet.Event) {
	actions := h.machine.Handle(h.now, event)
	h.machine.Snapshot()
	for _, action := range actions {
		if result := h.perform(action); result != nil {
			h.pending = append(h.pending, result)
		}
	}
}

// receiveHeartbeats queues the heartbeats of the current round from other hosts, when they are due.
func (h *simulatedHost) receiveHeartbeats() {
	if h.now.Before(h.nextHeartbeat) || len(h.environment.hosts) == 1 {
		return
	}
	interval := member.DefaultTiming().IntervalFor(len(h.environment.hosts))
	h.nextHeartbeat = h.now.Add(interval)
	h.sequence++
	for _, from := range h.heartbeatSenders() {
		heartbeat := h.emptyHeartbeat(from)
		h.traffic.heartbeats++
		h.traffic.peerBytes += heartbeatSize(heartbeat) + h.framing
		h.pending = append(h.pending, fleet.HeartbeatReceived{Heartbeat: heartbeat, Answer: func(answer fleet.Heartbeat) {
			h.traffic.peerBytes += heartbeatSize(answer)
		}})
	}
}

// heartbeatSenders returns the hosts that send a heartbeat to this one in the current round: the two before it on the ring of
// hosts ordered by id, and one at a distance that is a power of two. In a fleet of up to three hosts, all others send one.
func (h *simulatedHost) heartbeatSenders() []model.Host {
	others := h.environment.hosts[1:]
	if len(others) < 3 {
		return others
	}
	distance := 1 << (int(h.sequence) % bits.Len(uint(len(others))))
	far := others[len(others)-min(distance, len(others))]
	return []model.Host{others[len(others)-1], others[len(others)-2], far}
}

// emptyHeartbeat returns a heartbeat that carries no changes.
func (h *simulatedHost) emptyHeartbeat(from model.Host) fleet.Heartbeat {
	return fleet.Heartbeat{From: from.ID, Address: from.Address, Incarnation: incarnation, Sequence: h.sequence}
}

// perform counts the messages of an action and returns the event with its result, or nil if there is none.
func (h *simulatedHost) perform(action fleet.Action) fleet.Event {
	switch action := action.(type) {
	case fleet.SendHeartbeat:
		heartbeat := h.emptyHeartbeat(action.Host)
		h.traffic.heartbeats++
		h.traffic.peerBytes += heartbeatSize(action.Heartbeat) + heartbeatSize(heartbeat) + h.framing
		return fleet.HeartbeatResult{Host: action.Host.ID, Heartbeat: heartbeat}
	case fleet.AnswerHeartbeat:
		action.Answer(action.Heartbeat)
	case fleet.ReadMembers:
		h.traffic.storeReads++
		h.traffic.storeBytes += h.memberListBytes + h.framing
		return fleet.MembersRead{Hosts: h.environment.hosts, Instances: h.environment.instances}
	case fleet.ReadRows:
		h.traffic.storeReads++
		h.traffic.storeBytes += h.framing
		return fleet.RowsRead{Revision: h.environment.revision}
	case fleet.CommitRow:
		h.traffic.commits++
		return h.commitRow(action)
	case fleet.InstanceAction:
		return h.callInstance(action)
	}
	return nil
}

// commitRow returns the result of a successful write of an ownership row.
func (h *simulatedHost) commitRow(action fleet.CommitRow) fleet.Event {
	row := action.Row
	row.Version++
	return fleet.RowCommitted{Database: row.Database, Committed: true, Row: row}
}

// callInstance returns the response of an instance to a call.
func (h *simulatedHost) callInstance(action fleet.InstanceAction) fleet.Event {
	id := action.Instance.ID
	state := h.environment.states[id]
	switch action.Call {
	case fleet.CallFence:
		state = h.environment.setRole(id, action.Term, model.RoleFenced)
	case fleet.CallPromote:
		state = h.environment.setRole(id, action.Term, model.RolePrimary)
	case fleet.CallFollow:
		state = h.environment.setRole(id, action.Term, model.RoleReplica)
	}
	h.traffic.probes++
	h.traffic.probeBytes += stateSize(state) + h.framing
	return fleet.InstanceResult{
		Call:     action.Call,
		Database: action.Instance.Database,
		Instance: id,
		Term:     action.Term,
		State:    state,
	}
}

// joinTime is the virtual time after which a joining host has taken over its share of the databases.
const joinTime = 20 * time.Second

// join lets the host read the members and the ownership rows and take over its share of the databases. The traffic of joining
// isn't counted.
func (h *simulatedHost) join() {
	h.pending = append(h.pending,
		fleet.MembersRead{Hosts: h.environment.hosts, Instances: h.environment.instances},
		fleet.RowsRead{Rows: h.environment.rows(), Revision: h.environment.revision},
	)
	h.advance(joinTime)
	h.traffic = traffic{}
}
