package capacity

import (
	"fmt"
	"math/bits"
	"time"

	"redwingspread/internal/fleet"
	"redwingspread/internal/member"
	"redwingspread/internal/model"
)

// tickEvery is the time between two ticks of a daemon's control.
const tickEvery = 20 * time.Millisecond

// traffic counts the messages of control and their bytes, both ways.
type traffic struct {
	beats      int
	probes     int
	storeReads int
	commits    int
	peerBytes  Bytes
	probeBytes Bytes
	storeBytes Bytes
}

// daemon is the control of one daemon on a virtual clock, with the outside answering at once.
type daemon struct {
	machine  *fleet.Machine
	outside  *outside
	now      time.Time
	waiting  []fleet.Event
	traffic  traffic
	sequence model.Sequence
	nextBeat time.Time
	nonces   int

	membersSize Bytes
	framing     Bytes // headers of one call, both ways
}

// newDaemon returns the control of the fleet's first host.
func newDaemon(o *outside, framing Bytes) *daemon {
	d := &daemon{outside: o, now: time.Unix(1_800_000_000, 0), membersSize: sizeOfMembers(o.hosts, o.instances), framing: framing}
	d.machine = fleet.New()
	d.machine.Self = o.hosts[0]
	d.machine.Incarnation = incarnation
	d.machine.NewNonce = func() model.Nonce {
		d.nonces++
		return model.Nonce(fmt.Sprintf("nonce%d", d.nonces))
	}
	return d
}

// advance runs the control for a virtual time.
func (d *daemon) advance(duration time.Duration) {
	for end := d.now.Add(duration); d.now.Before(end); d.now = d.now.Add(tickEvery) {
		d.step(fleet.Tick{})
		d.hearBeats()
		for len(d.waiting) > 0 {
			event := d.waiting[0]
			d.waiting = d.waiting[1:]
			d.step(event)
		}
	}
}

// step handles one event as the control loop does: it decides, publishes and starts the actions.
func (d *daemon) step(event fleet.Event) {
	actions := d.machine.Handle(d.now, event)
	d.machine.Snapshot()
	for _, action := range actions {
		if answer := d.answer(action); answer != nil {
			d.waiting = append(d.waiting, answer)
		}
	}
}

// hearBeats brings the heartbeats of those hosts that watch this one.
func (d *daemon) hearBeats() {
	if d.now.Before(d.nextBeat) || len(d.outside.hosts) == 1 {
		return
	}
	every := member.DefaultTiming().IntervalFor(len(d.outside.hosts))
	d.nextBeat = d.now.Add(every)
	d.sequence++
	for _, from := range d.watchers() {
		beat := d.beatOf(from)
		d.traffic.beats++
		d.traffic.peerBytes += sizeOfBeat(beat) + d.framing
		d.waiting = append(d.waiting, fleet.HeartbeatReceived{Heartbeat: beat, Answer: func(answer fleet.Heartbeat) {
			d.traffic.peerBytes += sizeOfBeat(answer)
		}})
	}
}

// watchers returns the hosts that send heartbeats to this one in a round: the two before it on the ring and one at a power of two.
func (d *daemon) watchers() []model.Host {
	others := d.outside.hosts[1:]
	if len(others) < 3 {
		return others
	}
	distance := 1 << (int(d.sequence) % bits.Len(uint(len(others))))
	far := others[len(others)-min(distance, len(others))]
	return []model.Host{others[len(others)-1], others[len(others)-2], far}
}

// beatOf returns a heartbeat without news.
func (d *daemon) beatOf(from model.Host) fleet.Heartbeat {
	return fleet.Heartbeat{From: from.ID, Address: from.Address, Incarnation: incarnation, Sequence: d.sequence}
}

// answer returns the event that ends an action, and counts its message.
func (d *daemon) answer(action fleet.Action) fleet.Event {
	switch action := action.(type) {
	case fleet.SendHeartbeat:
		beat := d.beatOf(action.Host)
		d.traffic.beats++
		d.traffic.peerBytes += sizeOfBeat(action.Heartbeat) + sizeOfBeat(beat) + d.framing
		return fleet.HeartbeatSent{Host: action.Host.ID, Heartbeat: beat}
	case fleet.AnswerHeartbeat:
		action.Answer(action.Heartbeat)
	case fleet.ReadMembers:
		d.traffic.storeReads++
		d.traffic.storeBytes += d.membersSize + d.framing
		return fleet.MembersRead{Hosts: d.outside.hosts, Instances: d.outside.instances}
	case fleet.ReadRows:
		d.traffic.storeReads++
		d.traffic.storeBytes += d.framing
		return fleet.RowsRead{Revision: d.outside.revision}
	case fleet.CommitRow:
		d.traffic.commits++
		return d.commit(action)
	case fleet.InstanceAction:
		return d.call(action)
	}
	return nil
}

// commit takes a row that this host writes.
func (d *daemon) commit(action fleet.CommitRow) fleet.Event {
	row := action.Row
	row.Version++
	return fleet.RowCommitted{Database: row.Database, Committed: true, Row: row}
}

// call answers as an instance does.
func (d *daemon) call(action fleet.InstanceAction) fleet.Event {
	id := action.Instance.ID
	state := d.outside.states[id]
	switch action.Call {
	case fleet.CallFence:
		state = d.outside.raise(id, action.Term, model.RoleFenced)
	case fleet.CallPromote:
		state = d.outside.raise(id, action.Term, model.RolePrimary)
	case fleet.CallFollow:
		state = d.outside.raise(id, action.Term, model.RoleReplica)
	}
	d.traffic.probes++
	d.traffic.probeBytes += sizeOfState(state) + d.framing
	return fleet.InstanceResult{
		Call:     action.Call,
		Database: action.Instance.Database,
		Instance: id,
		Term:     action.Term,
		State:    state,
	}
}

// settleTime is the virtual time after which a daemon that joined has taken over its share.
const settleTime = 20 * time.Second

// settle lets the daemon join: it reads the members and the rows and takes its share.
func (d *daemon) settle() {
	d.waiting = append(d.waiting,
		fleet.MembersRead{Hosts: d.outside.hosts, Instances: d.outside.instances},
		fleet.RowsRead{Rows: d.outside.rows(), Revision: d.outside.revision},
	)
	d.advance(settleTime)
	d.traffic = traffic{}
}
