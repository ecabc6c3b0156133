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

// errLost is what a caller sees when no answer comes.
var errLost = errors.New("no answer")

// simulation is a small fleet in memory: machines, instances and a table on one fake clock.
type simulation struct {
	now        time.Time
	start      time.Time
	timers     []timer
	hosts      map[model.HostID]*fakeHost
	instances  map[model.InstanceID]*fakeInstance
	store      fakeStore
	cutLinks   map[[2]string]bool // from, to
	delay      func() time.Duration
	storeDelay time.Duration // added to the answers of the store
	nonces     int
	scheduled  int

	interruptsCopy func() bool                // whether a replica stops in the middle of taking a log over
	mutateAction   func(action Action) Action // takes a rule out, when set
	forgeResult    func(action InstanceAction, result InstanceResult) InstanceResult
	mutateEvent    func(event Event) Event // takes a rule out, when set
	onCall         func(instance *fakeInstance, action InstanceAction)
}

// timer is something that happens at a time.
type timer struct {
	at    time.Time
	order int
	run   func()
}

// fakeHost is one host and its machine.
type fakeHost struct {
	host    model.Host
	machine *Machine
	down    bool
	paused  bool
	inbox   []func() // what came while the host was paused
	listed  bool
}

// messageDelay is the time of one message, unless the world has another.
const messageDelay = 2 * time.Millisecond

// copyInterval is the time between two copies of a log in the tests of planned changes.
const copyInterval = 10 * time.Millisecond

// callTimeout is the time after which a caller gives up.
const callTimeout = 150 * time.Millisecond

// tickInterval is the time between two ticks of a host.
const tickInterval = 25 * time.Millisecond

// newSimulation returns a fleet of the sizes, each database with three instances over three data centres.
func newSimulation(hosts, databases int) *simulation {
	start := time.Unix(1000, 0)
	w := &simulation{
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
	w.delay = func() time.Duration { return messageDelay }
	for d := range databases {
		w.addDatabase(model.DatabaseID(fmt.Sprintf("d%d", d)), 3)
	}
	for h := range hosts {
		w.addHost(model.HostID(fmt.Sprintf("h%d", h)), h)
	}
	return w
}

// dataCentre returns the data centre with the number.
func dataCentre(number int) model.DataCentreID {
	return model.DataCentreID(fmt.Sprintf("dc%d", number%3))
}

// addDatabase adds a database whose first instance is its primary.
func (w *simulation) addDatabase(id model.DatabaseID, instances int) {
	for i := range instances {
		name := model.InstanceID(fmt.Sprintf("%s-%d", id, i))
		made := &fakeInstance{
			simulation: w,
			instance:   model.Instance{ID: name, Database: id, DataCentre: dataCentre(i), Address: model.Address(name)},
			term:       1,
			listed:     true,
			role:       model.RoleReplica,
			timeline:   model.Timeline{{Term: 1}},
		}
		made.upstream = model.InstanceID(fmt.Sprintf("%s-0", id))
		if i == 0 {
			made.role = model.RolePrimary
		}
		w.instances[name] = made
	}
}

// addHost adds a running host.
func (w *simulation) addHost(id model.HostID, number int) {
	w.hosts[id] = &fakeHost{host: model.Host{ID: id, Address: model.Address(id), DataCentre: dataCentre(number)}, listed: true}
	w.startHost(id)
}

// startHost starts a new run of a host.
func (w *simulation) startHost(id model.HostID) {
	h := w.hosts[id]
	machine := New()
	machine.Self = h.host
	machine.Incarnation = model.Incarnation(w.now.UnixNano())
	machine.NewNonce = func() model.Nonce {
		w.nonces++
		return model.Nonce(fmt.Sprint(w.nonces))
	}
	h.machine = machine
	h.down = false
	h.paused = false
	h.inbox = nil
	w.tick(h, machine)
}

// tick sends the host a tick, and the next one later.
func (w *simulation) tick(h *fakeHost, machine *Machine) {
	if h.machine != machine || h.down {
		return
	}
	if !h.paused {
		w.deliver(h, machine, Tick{})
	}
	w.schedule(tickInterval, func() { w.tick(h, machine) })
}

// schedule lets something happen later.
func (w *simulation) schedule(delay time.Duration, do func()) {
	w.scheduled++
	w.timers = append(w.timers, timer{w.now.Add(delay), w.scheduled, do})
}

// run lets time pass.
func (w *simulation) run(length time.Duration) {
	end := w.now.Add(length)
	for {
		next := w.nextTimer()
		if next < 0 || w.timers[next].at.After(end) {
			break
		}
		item := w.timers[next]
		w.timers = slices.Delete(w.timers, next, next+1)
		w.now = item.at
		item.run()
	}
	w.now = end
}

// nextTimer returns the index of the earliest happening.
func (w *simulation) nextTimer() int {
	if len(w.timers) == 0 {
		return -1
	}
	best := 0
	for i, item := range w.timers {
		earlier := cmp.Or(item.at.Compare(w.timers[best].at), cmp.Compare(item.order, w.timers[best].order))
		if earlier < 0 {
			best = i
		}
	}
	return best
}

// deliver gives an event to a run of a host, now or when it is no longer paused.
func (w *simulation) deliver(h *fakeHost, machine *Machine, event Event) {
	w.onHost(h, machine, func() {
		if w.mutateEvent != nil {
			event = w.mutateEvent(event)
		}
		for _, action := range machine.Handle(w.now, event) {
			if w.mutateAction != nil {
				action = w.mutateAction(action)
			}
			w.perform(h, machine, action)
		}
	})
}

// onHost does something in a run of a host, now or when it is no longer paused.
func (w *simulation) onHost(h *fakeHost, machine *Machine, do func()) {
	switch {
	case h.machine != machine || h.down:
	case h.paused:
		h.inbox = append(h.inbox, do)
	default:
		do()
	}
}

// resume ends a pause.
func (w *simulation) resume(id model.HostID) {
	h := w.hosts[id]
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, do := range inbox {
		do()
	}
}

// reaches reports whether messages pass from one name to another.
func (w *simulation) reaches(from, to string) bool {
	return !w.cutLinks[[2]string{from, to}] && !w.cutLinks[[2]string{from, "*"}] && !w.cutLinks[[2]string{"*", to}]
}

// scheduleEvery lets something happen again and again.
func (w *simulation) scheduleEvery(pause time.Duration, do func()) {
	w.schedule(pause, func() {
		do()
		w.scheduleEvery(pause, do)
	})
}

// hideHosts takes all hosts out of the platform's list, or puts them back.
func (w *simulation) hideHosts(out bool) {
	for _, h := range w.hosts {
		h.listed = !out
	}
}

// isolate cuts all messages of a name, both ways.
func (w *simulation) isolate(name string) {
	w.cutLinks[[2]string{name, "*"}] = true
	w.cutLinks[[2]string{"*", name}] = true
}

// heal mends all cuts.
func (w *simulation) heal() {
	clear(w.cutLinks)
}

// perform runs one action: the call travels, has its effect, and the answer travels back or is missed.
func (w *simulation) perform(h *fakeHost, machine *Machine, action Action) {
	from := string(h.host.ID)
	back := func(to string, event, lost Event) {
		if !w.reaches(to, from) {
			w.schedule(callTimeout, func() { w.deliver(h, machine, lost) })
			return
		}
		w.schedule(w.delay(), func() { w.deliver(h, machine, event) })
	}
	call := func(to string, lost Event, serve func() Event) {
		if !w.reaches(from, to) {
			w.schedule(callTimeout, func() { w.deliver(h, machine, lost) })
			return
		}
		late := time.Duration(0)
		if to == "store" {
			late = w.storeDelay
		}
		w.schedule(w.delay()+late, func() { back(to, serve(), lost) })
	}
	switch action := action.(type) {
	case ReadRows:
		call("store", RowsRead{Err: errLost}, func() Event { return w.store.readRows(action) })
	case CommitRow:
		lost := RowCommitted{Database: action.Row.Database, Err: errLost}
		call("store", lost, func() Event { return w.store.commit(action, lost) })
	case ReadMembers:
		call("store", MembersRead{Err: errLost}, func() Event { return w.readMembers() })
	case SendHeartbeat:
		w.sendHeartbeat(h, machine, action)
	case AnswerHeartbeat:
		action.Answer(action.Heartbeat)
	case ReadFleet:
		lost := FleetRead{Host: action.Host.ID, Err: errLost}
		call(string(action.Host.ID), lost, func() Event { return w.readFleet(action, lost) })
	case AnswerFleet:
		action.Answer(action.Fleet)
	case FetchConfiguration:
		lost := ConfigurationFetched{Action: action.Fetch, Err: errLost}
		call(action.destination(), lost, func() Event { return w.fetchConfiguration(action) })
	case InstanceAction:
		lost := w.newResult(action)
		lost.Err = errLost
		if w.forgeResult != nil {
			lost = w.forgeResult(action, lost)
		}
		if w.awaitsCopy(action) {
			w.schedule(copyInterval, func() { w.perform(h, machine, action) })
			return
		}
		call(string(action.Instance.ID), lost, func() Event { return w.instances[action.Instance.ID].handleCall(w, action) })
	}
}

// awaitsCopy reports whether an instance has yet to copy the point that a call awaits.
func (w *simulation) awaitsCopy(action InstanceAction) bool {
	f := w.instances[action.Instance.ID]
	if f.down || f.role != model.RoleReplica {
		return false
	}
	if action.Call == CallAdopt {
		return f.upstream == action.Primary.ID && f.term <= action.Term && !Adopted(f.state(), action.Term)
	}
	return action.Call == CallAwait && f.timeline.Relate(f.point(), action.Point) != model.Covered
}

// copyAll lets every replica copy all entries of its leader, again and again.
func (w *simulation) copyAll() {
	for _, f := range w.instances {
		if f.role == model.RoleReplica && w.reaches(string(f.instance.ID), string(f.upstream)) {
			f.replicate(1000)
		}
	}
	w.schedule(copyInterval, w.copyAll)
}

// sendHeartbeat carries a heartbeat to another host and its answer back.
func (w *simulation) sendHeartbeat(h *fakeHost, machine *Machine, action SendHeartbeat) {
	from, to := string(h.host.ID), string(action.Host.ID)
	lost := HeartbeatSent{Host: action.Host.ID, Err: errLost}
	answered := false
	answer := func(beat Heartbeat) {
		if !w.reaches(to, from) {
			return
		}
		w.schedule(w.delay(), func() {
			if !answered {
				answered = true
				w.deliver(h, machine, HeartbeatSent{Host: action.Host.ID, Heartbeat: beat})
			}
		})
	}
	w.schedule(callTimeout, func() {
		if !answered {
			answered = true
			w.deliver(h, machine, lost)
		}
	})
	peer := w.hosts[action.Host.ID]
	if !w.reaches(from, to) || peer == nil {
		return
	}
	run := peer.machine
	w.schedule(w.delay(), func() { w.deliver(peer, run, HeartbeatReceived{Heartbeat: action.Heartbeat, Answer: answer}) })
}

// readFleet asks a host for all that it knows.
func (w *simulation) readFleet(action ReadFleet, lost Event) Event {
	peer := w.hosts[action.Host.ID]
	result := lost
	if !peer.down && !peer.paused {
		answer := func(known Fleet) { result = FleetRead{Host: action.Host.ID, Fleet: known} }
		w.deliver(peer, peer.machine, FleetRequested{Answer: answer})
	}
	return result
}

// servingHosts returns the hosts that serve the database, in order.
func (w *simulation) servingHosts(id model.DatabaseID) []model.HostID {
	var serving []model.HostID
	for name, h := range w.hosts {
		if d := h.machine.Snapshot().Databases[id]; !h.down && d != nil && d.Serving {
			serving = append(serving, name)
		}
	}
	slices.Sort(serving)
	return serving
}

// databaseView returns the view that a host has of a database.
func (w *simulation) databaseView(host model.HostID, id model.DatabaseID) *view.Database {
	return w.hosts[host].machine.Snapshot().Databases[id]
}
