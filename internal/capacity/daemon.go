package capacity

import (
	"fmt"
	"math/bits"
	"time"

	"redwingspread/internal/fleet"
	"redwingspread/internal/member"
	"redwingspread/internal/model"
)

// tickInterval is the time between two ticks of a daemon's control.
const tickInterval = 20 * time.Millisecond

// traffic counts the messages of control and their bytes, both ways.
type traffic struct {
	heartbeats int
	probes     int
	storeReads int
	commits    int
	peerBytes  Bytes
	probeBytes Bytes
	storeBytes Bytes
}

// simulatedDaemon is the control of one daemon on a virtual clock, with the outside answering at once.
type simulatedDaemon struct {
	machine       *fleet.Machine
	environment   *environment
	now           time.Time
	pending       []fleet.Event
	traffic       traffic
	sequence      model.Sequence
	nextHeartbeat time.Time
	nonceCount    int

	membersSize Bytes
	framing     Bytes // headers of one call, both ways
}

// newSimulatedDaemon returns the control of the fleet's first host.
func newSimulatedDaemon(o *environment, framing Bytes) *simulatedDaemon {
	d := &simulatedDaemon{environment: o, now: time.Unix(1_800_000_000, 0), membersSize: membersSize(o.hosts, o.instances), framing: framing}
	d.machine = fleet.New()
	d.machine.Self = o.hosts[0]
	d.machine.Incarnation = incarnation
	d.machine.NewNonce = func() model.Nonce {
		d.nonceCount++
		return model.Nonce(fmt.Sprintf("nonce%d", d.nonceCount))
	}
	return d
}

// advance runs the control for a virtual time.
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

// handle handles one event as the control loop does: it decides, publishes and starts the actions.
func (d *simulatedDaemon) handle(event fleet.Event) {
	actions := d.machine.Handle(d.now, event)
	d.machine.Snapshot()
	for _, action := range actions {
		if answer := d.perform(action); answer != nil {
			d.pending = append(d.pending, answer)
		}
	}
}

// receiveHeartbeats brings the heartbeats of those hosts that watch this one.
func (d *simulatedDaemon) receiveHeartbeats() {
	if d.now.Before(d.nextHeartbeat) || len(d.environment.hosts) == 1 {
		return
	}
	every := member.DefaultTiming().IntervalFor(len(d.environment.hosts))
	d.nextHeartbeat = d.now.Add(every)
	d.sequence++
	for _, from := range d.heartbeatSenders() {
		beat := d.emptyHeartbeat(from)
		d.traffic.heartbeats++
		d.traffic.peerBytes += heartbeatSize(beat) + d.framing
		d.pending = append(d.pending, fleet.HeartbeatIn{Beat: beat, Answer: func(answer fleet.Heartbeat) {
			d.traffic.peerBytes += heartbeatSize(answer)
		}})
	}
}

// heartbeatSenders returns the hosts that send heartbeats to this one in a round: the two before it on the ring and one at a power of two.
func (d *simulatedDaemon) heartbeatSenders() []model.Host {
	others := d.environment.hosts[1:]
	if len(others) < 3 {
		return others
	}
	distance := 1 << (int(d.sequence) % bits.Len(uint(len(others))))
	far := others[len(others)-min(distance, len(others))]
	return []model.Host{others[len(others)-1], others[len(others)-2], far}
}

// emptyHeartbeat returns a heartbeat without news.
func (d *simulatedDaemon) emptyHeartbeat(from model.Host) fleet.Heartbeat {
	return fleet.Heartbeat{From: from.ID, Address: from.Address, Incarnation: incarnation, Sequence: d.sequence}
}

// perform returns the event that ends an action, and counts its message.
func (d *simulatedDaemon) perform(action fleet.Action) fleet.Event {
	switch action := action.(type) {
	case fleet.SendHeartbeat:
		beat := d.emptyHeartbeat(action.Host)
		d.traffic.heartbeats++
		d.traffic.peerBytes += heartbeatSize(action.Beat) + heartbeatSize(beat) + d.framing
		return fleet.HeartbeatSent{Host: action.Host.ID, Beat: beat}
	case fleet.AnswerHeartbeat:
		action.Answer(action.Beat)
	case fleet.ReadMembers:
		d.traffic.storeReads++
		d.traffic.storeBytes += d.membersSize + d.framing
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

// commitRow takes a row that this host writes.
func (d *simulatedDaemon) commitRow(action fleet.CommitRow) fleet.Event {
	row := action.Row
	row.Version++
	return fleet.RowCommitted{Database: row.Database, Committed: true, Row: row}
}

// callInstance answers as an instance does.
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

// joinTime is the virtual time after which a daemon that joined has taken over its share.
const joinTime = 20 * time.Second

// join lets the daemon join: it reads the members and the rows and takes its share.
func (d *simulatedDaemon) join() {
	d.pending = append(d.pending,
		fleet.MembersRead{Hosts: d.environment.hosts, Instances: d.environment.instances},
		fleet.RowsRead{Rows: d.environment.rows(), Revision: d.environment.revision},
	)
	d.advance(joinTime)
	d.traffic = traffic{}
}
