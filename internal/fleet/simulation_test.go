package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// errLost is the error of a call without an answer.
var errLost = errors.New("no answer")

// simulation is a small fleet in memory: machines, instances and a store with a simulated clock.
type simulation struct {
	now        time.Time
	start      time.Time
	timers     []timer
	hosts      map[model.HostID]*fakeHost
	instances  map[model.InstanceID]*fakeInstance
	store      fakeStore
	cutLinks   map[[2]string]bool   // keys are from and to
	delay      func() time.Duration // returns the delay of the next message
	storeDelay time.Duration        // added to each call to the store
	nonces     int                  // number of nonces issued
	scheduled  int                  // number of timers scheduled so far

	interruptsCopy func() bool                                                       // whether a replica stops after adopting a timeline and before truncating its log
	mutateAction   func(action Action) Action                                        // alters actions to disable a rule, if set
	forgeResult    func(action InstanceAction, result InstanceResult) InstanceResult // alters results of unanswered calls to disable a rule, if set
	mutateEvent    func(event Event) Event                                           // alters events to disable a rule, if set
	onCall         func(instance *fakeInstance, action InstanceAction)               // called after each call that was not refused, if set
}

// timer is a function to be run at a time.
type timer struct {
	at    time.Time
	order int // order of scheduling among timers at the same time
	run   func()
}

// fakeHost is one host with its machine.
type fakeHost struct {
	host    model.Host
	machine *Machine
	down    bool
	paused  bool
	inbox   []func() // work deferred while the host is paused
	listed  bool
}

// messageDelay is the default delay of one message.
const messageDelay = 2 * time.Millisecond

// copyInterval is the time between two rounds of copying the logs.
const copyInterval = 10 * time.Millisecond

// callTimeout is the time after which a caller gives up.
const callTimeout = 150 * time.Millisecond

// tickInterval is the time between two ticks of a host.
const tickInterval = 25 * time.Millisecond

// newSimulation returns a fleet of the given size. Each database has three instances in three data centres.
func newSimulation(hosts, databases int) *simulation {
	start := time.Unix(1000, 0)
	sim := &simulation{
		now:       start,
		start:     start,
		hosts:     make(map[model.HostID]*fakeHost),
		instances: make(map[model.InstanceID]*fakeInstance),
		cutLinks:  make(map[[2]string]bool),
		store: fakeStore{
			rows:      make(map[model.DatabaseID]model.Ownership),
			revisions: make(map[model.DatabaseID]model.Revision),
		},
	}
	sim.delay = func() time.Duration { return messageDelay }
	for d := range databases {
		sim.addDatabase(model.DatabaseID(fmt.Sprintf("d%d", d)), 3)
	}
	for h := range hosts {
		sim.addHost(model.HostID(fmt.Sprintf("h%d", h)), h)
	}
	return sim
}

// dataCentre returns the data centre for a number.
func dataCentre(number int) model.DataCentreID {
	return model.DataCentreID(fmt.Sprintf("dc%d", number%3))
}

// addDatabase adds a database whose first instance is its primary.
func (sim *simulation) addDatabase(id model.DatabaseID, instances int) {
	for i := range instances {
		name := model.InstanceID(fmt.Sprintf("%s-%d", id, i))
		instance := &fakeInstance{
			simulation: sim,
			instance:   model.Instance{ID: name, Database: id, DataCentre: dataCentre(i), Address: model.Address(name)},
			term:       1,
			listed:     true,
			role:       model.RoleReplica,
			timeline:   model.Timeline{{Term: 1}},
		}
		instance.upstream = model.InstanceID(fmt.Sprintf("%s-0", id))
		if i == 0 {
			instance.role = model.RolePrimary
		}
		sim.instances[name] = instance
	}
}

// addHost adds a running host.
func (sim *simulation) addHost(id model.HostID, number int) {
	sim.hosts[id] = &fakeHost{host: model.Host{ID: id, Address: model.Address(id), DataCentre: dataCentre(number)}, listed: true}
	sim.startHost(id)
}

// startHost starts a new incarnation of a host.
func (sim *simulation) startHost(id model.HostID) {
	h := sim.hosts[id]
	machine := New()
	machine.Self = h.host
	machine.Incarnation = model.Incarnation(sim.now.UnixNano())
	machine.NewNonce = func() model.Nonce {
		sim.nonces++
		return model.Nonce(fmt.Sprint(sim.nonces))
	}
	h.machine = machine
	h.down = false
	h.paused = false
	h.inbox = nil
	sim.tick(h, machine)
}

// tick sends a tick to the host and schedules the next one.
func (sim *simulation) tick(h *fakeHost, machine *Machine) {
	if h.machine != machine || h.down {
		return
	}
	if !h.paused {
		sim.deliver(h, machine, Tick{})
	}
	sim.schedule(tickInterval, func() { sim.tick(h, machine) })
}

// schedule runs a function after a delay.
func (sim *simulation) schedule(delay time.Duration, do func()) {
	sim.scheduled++
	sim.timers = append(sim.timers, timer{sim.now.Add(delay), sim.scheduled, do})
}

// run advances the clock and runs the timers that are due.
func (sim *simulation) run(duration time.Duration) {
	end := sim.now.Add(duration)
	for {
		next := sim.nextTimer()
		if next < 0 || sim.timers[next].at.After(end) {
			break
		}
		item := sim.timers[next]
		sim.timers = slices.Delete(sim.timers, next, next+1)
		sim.now = item.at
		item.run()
	}
	sim.now = end
}

// nextTimer returns the index of the earliest timer, or -1.
func (sim *simulation) nextTimer() int {
	if len(sim.timers) == 0 {
		return -1
	}
	best := 0
	for i, item := range sim.timers {
		earlier := cmp.Or(item.at.Compare(sim.timers[best].at), cmp.Compare(item.order, sim.timers[best].order))
		if earlier < 0 {
			best = i
		}
	}
	return best
}

// deliver passes an event to an incarnation of a host, and performs the resulting actions.
func (sim *simulation) deliver(h *fakeHost, machine *Machine, event Event) {
	sim.onHost(h, machine, func() {
		if sim.mutateEvent != nil {
			event = sim.mutateEvent(event)
		}
		for _, action := range machine.Handle(sim.now, event) {
			if sim.mutateAction != nil {
				action = sim.mutateAction(action)
			}
			sim.perform(h, machine, action)
		}
	})
}

// onHost runs a function on an incarnation of a host, deferred while the host is paused.
func (sim *simulation) onHost(h *fakeHost, machine *Machine, do func()) {
	switch {
	case h.machine != machine || h.down:
	case h.paused:
		h.inbox = append(h.inbox, do)
	default:
		do()
	}
}

// resume ends a pause and runs the deferred work.
func (sim *simulation) resume(id model.HostID) {
	h := sim.hosts[id]
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, do := range inbox {
		do()
	}
}

// reaches reports whether messages from one node reach the other.
func (sim *simulation) reaches(from, to string) bool {
	return !sim.cutLinks[[2]string{from, to}] && !sim.cutLinks[[2]string{from, "*"}] && !sim.cutLinks[[2]string{"*", to}]
}

// scheduleEvery runs a function repeatedly.
func (sim *simulation) scheduleEvery(pause time.Duration, do func()) {
	sim.schedule(pause, func() {
		do()
		sim.scheduleEvery(pause, do)
	})
}

// hideHosts removes all hosts from the platform's list, or restores them.
func (sim *simulation) hideHosts(hide bool) {
	for _, h := range sim.hosts {
		h.listed = !hide
	}
}

// isolate drops all messages from and to a node.
func (sim *simulation) isolate(name string) {
	sim.cutLinks[[2]string{name, "*"}] = true
	sim.cutLinks[[2]string{"*", name}] = true
}

// heal restores all links.
func (sim *simulation) heal() {
	clear(sim.cutLinks)
}

// perform runs one action: it delivers the call, applies it and delivers the answer, or an error after a timeout.
func (sim *simulation) perform(h *fakeHost, machine *Machine, action Action) {
	from := string(h.host.ID)
	respond := func(to string, event, lost Event) {
		if !sim.reaches(to, from) {
			sim.schedule(callTimeout, func() { sim.deliver(h, machine, lost) })
			return
		}
		sim.schedule(sim.delay(), func() { sim.deliver(h, machine, event) })
	}
	call := func(to string, lost Event, serve func() Event) {
		if !sim.reaches(from, to) {
			sim.schedule(callTimeout, func() { sim.deliver(h, machine, lost) })
			return
		}
		extraDelay := time.Duration(0)
		if to == "store" {
			extraDelay = sim.storeDelay
		}
		sim.schedule(sim.delay()+extraDelay, func() { respond(to, serve(), lost) })
	}
	switch action := action.(type) {
	case ReadRows:
		call("store", RowsRead{Err: errLost}, func() Event { return sim.store.readRows(action) })
	case CommitRow:
		lost := RowCommitted{Database: action.Row.Database, Err: errLost}
		call("store", lost, func() Event { return sim.store.commit(action, lost) })
	case ReadMembers:
		call("store", MembersRead{Err: errLost}, func() Event { return sim.readMembers() })
	case SendHeartbeat:
		sim.sendHeartbeat(h, machine, action)
	case AnswerHeartbeat:
		action.Answer(action.Heartbeat)
	case ReadFleet:
		lost := FleetRead{Host: action.Host.ID, Err: errLost}
		call(string(action.Host.ID), lost, func() Event { return sim.readFleet(action, lost) })
	case AnswerFleet:
		action.Answer(action.Fleet)
	case FetchConfiguration:
		lost := ConfigurationFetched{Action: action.Fetch, Err: errLost}
		call(action.destination(), lost, func() Event { return sim.fetchConfiguration(action) })
	case InstanceAction:
		lost := sim.newResult(action)
		lost.Err = errLost
		if sim.forgeResult != nil {
			lost = sim.forgeResult(action, lost)
		}
		if sim.awaitsCopy(action) {
			sim.schedule(copyInterval, func() { sim.perform(h, machine, action) })
			return
		}
		call(string(action.Instance.ID), lost, func() Event { return sim.instances[action.Instance.ID].handleCall(sim, action) })
	}
}

// awaitsCopy reports whether a call that waits for an entry has to wait longer for the replica to copy it.
func (sim *simulation) awaitsCopy(action InstanceAction) bool {
	f := sim.instances[action.Instance.ID]
	if f.down || f.role != model.RoleReplica {
		return false
	}
	if action.Call == CallAdopt {
		return f.upstream == action.Primary.ID && f.term <= action.Term && !Adopted(f.state(), action.Term)
	}
	return action.Call == CallAwait && f.timeline.Relate(f.point(), action.Point) != model.Covered
}

// copyAll lets every replica copy all entries of its upstream, repeatedly.
func (sim *simulation) copyAll() {
	for _, f := range sim.instances {
		if f.role == model.RoleReplica && sim.reaches(string(f.instance.ID), string(f.upstream)) {
			f.replicate(1000)
		}
	}
	sim.schedule(copyInterval, sim.copyAll)
}

// sendHeartbeat delivers a heartbeat to another host, and its answer back.
func (sim *simulation) sendHeartbeat(h *fakeHost, machine *Machine, action SendHeartbeat) {
	from, to := string(h.host.ID), string(action.Host.ID)
	lost := HeartbeatResult{Host: action.Host.ID, Err: errLost}
	answered := false
	answer := func(heartbeat Heartbeat) {
		if !sim.reaches(to, from) {
			return
		}
		sim.schedule(sim.delay(), func() {
			if !answered {
				answered = true
				sim.deliver(h, machine, HeartbeatResult{Host: action.Host.ID, Heartbeat: heartbeat})
			}
		})
	}
	sim.schedule(callTimeout, func() {
		if !answered {
			answered = true
			sim.deliver(h, machine, lost)
		}
	})
	peer := sim.hosts[action.Host.ID]
	if !sim.reaches(from, to) || peer == nil {
		return
	}
	peerMachine := peer.machine
	sim.schedule(sim.delay(), func() { sim.deliver(peer, peerMachine, HeartbeatReceived{Heartbeat: action.Heartbeat, Answer: answer}) })
}

// readFleet asks a host for what it knows about the fleet.
func (sim *simulation) readFleet(action ReadFleet, lost Event) Event {
	peer := sim.hosts[action.Host.ID]
	result := lost
	if !peer.down && !peer.paused {
		answer := func(fleet Fleet) { result = FleetRead{Host: action.Host.ID, Fleet: fleet} }
		sim.deliver(peer, peer.machine, FleetRequested{Answer: answer})
	}
	return result
}

// servingHosts returns the hosts that serve the database, sorted.
func (sim *simulation) servingHosts(id model.DatabaseID) []model.HostID {
	var serving []model.HostID
	for name, h := range sim.hosts {
		if d := h.machine.Snapshot().Databases[id]; !h.down && d != nil && d.Serving {
			serving = append(serving, name)
		}
	}
	slices.Sort(serving)
	return serving
}

// databaseView returns a host's view of a database.
func (sim *simulation) databaseView(host model.HostID, id model.DatabaseID) *view.Database {
	return sim.hosts[host].machine.Snapshot().Databases[id]
}
