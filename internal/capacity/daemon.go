package capacity

import (
	"fmt"
	"math/bits"
	"time"

	"redwingspread/internal/fleet"
	"redwingspread/internal/member"
	"redwingspread/internal/model"
)

// tickInterval is the time between two ticks of a daemon's control loop.
const tickInterval = 20 * time.Millisecond

// traffic counts the messages of the control loop and their bytes, sent and received.
type traffic struct {
	heartbeats int
	probes     int
	storeReads int
	commits    int
	peerBytes  Bytes
	probeBytes Bytes
	storeBytes Bytes
}

// simulatedDaemon is the control loop of one daemon on a virtual clock. Its environment responds without delay.
type simulatedDaemon struct {
	machine       *fleet.Machine
	environment   *environment
	now           time.Time
	pending       []fleet.Event // events to handle in the current tick
	traffic       traffic
	sequence      model.Sequence // of the received heartbeats
	nextHeartbeat time.Time      // time of the next received heartbeats
	nonceCount    int            // nonces generated

	memberListBytes Bytes // encoded size of the platform's list of members
	framing         Bytes // HTTP overhead of one call, request and response
}

// newSimulatedDaemon returns a simulated daemon that runs on the first host of the environment.
func newSimulatedDaemon(e *environment, framing Bytes) *simulatedDaemon {
	d := &simulatedDaemon{environment: e, now: time.Unix(1_800_000_000, 0), memberListBytes: memberListSize(e.hosts, e.instances), framing: framing}
	d.machine = fleet.New()
	d.machine.Self = e.hosts[0]
	d.machine.Incarnation = incarnation
	d.machine.NewNonce = func() model.Nonce {
		d.nonceCount++
		return model.Nonce(fmt.Sprintf("nonce%d", d.nonceCount))
	}
	return d
}

// advance runs the control loop for the given virtual time.
func (d *simulatedDaemon) advance(duration time.Duration) {
	for end := d.now.Add(duration); d.now.Before(end); d.now = d.now.Add(tickInterval) {
		d.handle(fleet.Tick{})
		d.receiveHeartbeats()
		for len(d.pending) > 0 {
			event := d.pending[0]
			d.pending = d.pending[1:]
			d.handle(event)
		}
	}
}

// handle handles one event as the real control loop does: it decides, publishes a snapshot and performs the actions.
func (d *simulatedDaemon) handle(event fleet.Event) {
	actions := d.machine.Handle(d.now, event)
	d.machine.Snapshot()
	for _, action := range actions {
		if result := d.perform(action); result != nil {
			d.pending = append(d.pending, result)
		}
	}
}

// receiveHeartbeats queues the heartbeats of the current round from other hosts, when they are due.
func (d *simulatedDaemon) receiveHeartbeats() {
	if d.now.Before(d.nextHeartbeat) || len(d.environment.hosts) == 1 {
		return
	}
	interval := member.DefaultTiming().IntervalFor(len(d.environment.hosts))
	d.nextHeartbeat = d.now.Add(interval)
	d.sequence++
	for _, from := range d.heartbeatSenders() {
		heartbeat := d.emptyHeartbeat(from)
		d.traffic.heartbeats++
		d.traffic.peerBytes += heartbeatSize(heartbeat) + d.framing
		d.pending = append(d.pending, fleet.HeartbeatReceived{Heartbeat: heartbeat, Answer: func(answer fleet.Heartbeat) {
			d.traffic.peerBytes += heartbeatSize(answer)
		}})
	}
}

// heartbeatSenders returns the hosts that send a heartbeat to this one in the current round: the two before it on the ring and one
// at a distance that is a power of two.
func (d *simulatedDaemon) heartbeatSenders() []model.Host {
	others := d.environment.hosts[1:]
	if len(others) < 3 {
		return others
	}
	distance := 1 << (int(d.sequence) % bits.Len(uint(len(others))))
	far := others[len(others)-min(distance, len(others))]
	return []model.Host{others[len(others)-1], others[len(others)-2], far}
}

// emptyHeartbeat returns a heartbeat that carries no changes.
func (d *simulatedDaemon) emptyHeartbeat(from model.Host) fleet.Heartbeat {
	return fleet.Heartbeat{From: from.ID, Address: from.Address, Incarnation: incarnation, Sequence: d.sequence}
}

// perform counts the messages of an action and returns the event with its result, or nil if there is none.
func (d *simulatedDaemon) perform(action fleet.Action) fleet.Event {
	switch action := action.(type) {
	case fleet.SendHeartbeat:
		heartbeat := d.emptyHeartbeat(action.Host)
		d.traffic.heartbeats++
		d.traffic.peerBytes += heartbeatSize(action.Heartbeat) + heartbeatSize(heartbeat) + d.framing
		return fleet.HeartbeatResult{Host: action.Host.ID, Heartbeat: heartbeat}
	case fleet.AnswerHeartbeat:
		action.Answer(action.Heartbeat)
	case fleet.ReadMembers:
		d.traffic.storeReads++
		d.traffic.storeBytes += d.memberListBytes + d.framing
		return fleet.MembersRead{Hosts: d.environment.hosts, Instances: d.environment.instances}
	case fleet.ReadRows:
		d.traffic.storeReads++
		d.traffic.storeBytes += d.framing
		return fleet.RowsRead{Revision: d.environment.revision}
	case fleet.CommitRow:
		d.traffic.commits++
		return d.commitRow(action)
	case fleet.InstanceAction:
		return d.callInstance(action)
	}
	return nil
}

// commitRow returns the result of a successful write of an ownership row.
func (d *simulatedDaemon) commitRow(action fleet.CommitRow) fleet.Event {
	row := action.Row
	row.Version++
	return fleet.RowCommitted{Database: row.Database, Committed: true, Row: row}
}

// callInstance returns the response of an instance to a call.
func (d *simulatedDaemon) callInstance(action fleet.InstanceAction) fleet.Event {
	id := action.Instance.ID
	state := d.environment.states[id]
	switch action.Call {
	case fleet.CallFence:
		state = d.environment.setRole(id, action.Term, model.RoleFenced)
	case fleet.CallPromote:
		state = d.environment.setRole(id, action.Term, model.RolePrimary)
	case fleet.CallFollow:
		state = d.environment.setRole(id, action.Term, model.RoleReplica)
	}
	d.traffic.probes++
	d.traffic.probeBytes += stateSize(state) + d.framing
	return fleet.InstanceResult{
		Call:     action.Call,
		Database: action.Instance.Database,
		Instance: id,
		Term:     action.Term,
		State:    state,
	}
}

// joinTime is the virtual time after which a joining daemon has taken over its share of the databases.
const joinTime = 20 * time.Second

// join lets the daemon read the members and the ownership rows and take over its share of the databases. The traffic of joining
// isn't counted.
func (d *simulatedDaemon) join() {
	d.pending = append(d.pending,
		fleet.MembersRead{Hosts: d.environment.hosts, Instances: d.environment.instances},
		fleet.RowsRead{Rows: d.environment.rows(), Revision: d.environment.revision},
	)
	d.advance(joinTime)
	d.traffic = traffic{}
}
