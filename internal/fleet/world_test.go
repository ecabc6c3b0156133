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

// world is a small fleet in memory: machines, instances and a table on one fake clock.
type world struct {
	now        time.Time
	start      time.Time
	queue      []happening
	hosts      map[model.HostID]*fakeHost
	instances  map[model.InstanceID]*fakeInstance
	store      fakeStore
	cut        map[[2]string]bool // from, to
	delay      func() time.Duration
	storeDelay time.Duration // added to the answers of the store
	nonces     int
	order      int

	tears  func() bool                // whether a replica stops in the middle of taking a log over
	mutate func(action Action) Action // takes a rule out, when set
	forge  func(action InstanceAction, result InstanceResult) InstanceResult
	hear   func(event Event) Event // takes a rule out, when set
	onCall func(instance *fakeInstance, action InstanceAction)
}

// happening is something that happens at a time.
type happening struct {
	at    time.Time
	order int
	do    func()
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

// hop is the time of one message, unless the world has another.
const hop = 2 * time.Millisecond

// copies is the time between two copies of a log in the tests of planned changes.
const copies = 10 * time.Millisecond

// timeout is the time after which a caller gives up.
const timeout = 150 * time.Millisecond

// ticks is the time between two ticks of a host.
const ticks = 25 * time.Millisecond

// newWorld returns a fleet of the sizes, each database with three instances over three data centres.
func newWorld(hosts, databases int) *world {
	start := time.Unix(1000, 0)
	w := &world{
		now:       start,
		start:     start,
		hosts:     make(map[model.HostID]*fakeHost),
		instances: make(map[model.InstanceID]*fakeInstance),
		cut:       make(map[[2]string]bool),
		store: fakeStore{
			rows:    make(map[model.DatabaseID]model.Ownership),
			changes: make(map[model.DatabaseID]model.Revision),
		},
	}
	w.delay = func() time.Duration { return hop }
	for d := range databases {
		w.addDatabase(model.DatabaseID(fmt.Sprintf("d%d", d)), 3)
	}
	for h := range hosts {
		w.addHost(model.HostID(fmt.Sprintf("h%d", h)), h)
	}
	return w
}

// place returns the data centre with the number.
func place(number int) model.DataCentreID {
	return model.DataCentreID(fmt.Sprintf("dc%d", number%3))
}

// addDatabase adds a database whose first instance is its primary.
func (w *world) addDatabase(id model.DatabaseID, instances int) {
	for i := range instances {
		name := model.InstanceID(fmt.Sprintf("%s-%d", id, i))
		made := &fakeInstance{
			world:    w,
			place:    model.Instance{ID: name, Database: id, DataCentre: place(i), Address: model.Address(name)},
			term:     1,
			listed:   true,
			role:     model.RoleReplica,
			timeline: model.Timeline{{Term: 1}},
		}
		made.leader = model.InstanceID(fmt.Sprintf("%s-0", id))
		if i == 0 {
			made.role = model.RolePrimary
		}
		w.instances[name] = made
	}
}

// addHost adds a running host.
func (w *world) addHost(id model.HostID, number int) {
	w.hosts[id] = &fakeHost{host: model.Host{ID: id, Address: model.Address(id), DataCentre: place(number)}, listed: true}
	w.boot(id)
}

// boot starts a new run of a host.
func (w *world) boot(id model.HostID) {
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
func (w *world) tick(h *fakeHost, machine *Machine) {
	if h.machine != machine || h.down {
		return
	}
	if !h.paused {
		w.deliver(h, machine, Tick{})
	}
	w.after(ticks, func() { w.tick(h, machine) })
}

// after lets something happen later.
func (w *world) after(delay time.Duration, do func()) {
	w.order++
	w.queue = append(w.queue, happening{w.now.Add(delay), w.order, do})
}

// run lets time pass.
func (w *world) run(length time.Duration) {
	end := w.now.Add(length)
	for {
		next := w.next()
		if next < 0 || w.queue[next].at.After(end) {
			break
		}
		item := w.queue[next]
		w.queue = slices.Delete(w.queue, next, next+1)
		w.now = item.at
		item.do()
	}
	w.now = end
}

// next returns the index of the earliest happening.
func (w *world) next() int {
	if len(w.queue) == 0 {
		return -1
	}
	best := 0
	for i, item := range w.queue {
		earlier := cmp.Or(item.at.Compare(w.queue[best].at), cmp.Compare(item.order, w.queue[best].order))
		if earlier < 0 {
			best = i
		}
	}
	return best
}

// deliver gives an event to a run of a host, now or when it is no longer paused.
func (w *world) deliver(h *fakeHost, machine *Machine, event Event) {
	w.onHost(h, machine, func() {
		if w.hear != nil {
			event = w.hear(event)
		}
		for _, action := range machine.Handle(w.now, event) {
			if w.mutate != nil {
				action = w.mutate(action)
			}
			w.act(h, machine, action)
		}
	})
}

// onHost does something in a run of a host, now or when it is no longer paused.
func (w *world) onHost(h *fakeHost, machine *Machine, do func()) {
	switch {
	case h.machine != machine || h.down:
	case h.paused:
		h.inbox = append(h.inbox, do)
	default:
		do()
	}
}

// resume ends a pause.
func (w *world) resume(id model.HostID) {
	h := w.hosts[id]
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, do := range inbox {
		do()
	}
}

// reaches reports whether messages pass from one name to another.
func (w *world) reaches(from, to string) bool {
	return !w.cut[[2]string{from, to}] && !w.cut[[2]string{from, "*"}] && !w.cut[[2]string{"*", to}]
}

// every lets something happen again and again.
func (w *world) every(pause time.Duration, do func()) {
	w.after(pause, func() {
		do()
		w.every(pause, do)
	})
}

// unlist takes all hosts out of the platform's list, or puts them back.
func (w *world) unlist(out bool) {
	for _, h := range w.hosts {
		h.listed = !out
	}
}

// isolate cuts all messages of a name, both ways.
func (w *world) isolate(name string) {
	w.cut[[2]string{name, "*"}] = true
	w.cut[[2]string{"*", name}] = true
}

// heal mends all cuts.
func (w *world) heal() {
	clear(w.cut)
}

// act runs one action: the call travels, has its effect, and the answer travels back or is missed.
func (w *world) act(h *fakeHost, machine *Machine, action Action) {
	from := string(h.host.ID)
	back := func(to string, event, lost Event) {
		if !w.reaches(to, from) {
			w.after(timeout, func() { w.deliver(h, machine, lost) })
			return
		}
		w.after(w.delay(), func() { w.deliver(h, machine, event) })
	}
	call := func(to string, lost Event, serve func() Event) {
		if !w.reaches(from, to) {
			w.after(timeout, func() { w.deliver(h, machine, lost) })
			return
		}
		late := time.Duration(0)
		if to == "store" {
			late = w.storeDelay
		}
		w.after(w.delay()+late, func() { back(to, serve(), lost) })
	}
	switch action := action.(type) {
	case ReadRows:
		call("store", RowsRead{Err: errLost}, func() Event { return w.store.readRows(action) })
	case CommitRow:
		lost := RowCommitted{Database: action.Row.Database, Err: errLost}
		call("store", lost, func() Event { return w.store.commit(action, lost) })
	case ReadMembers:
		call("store", MembersRead{Err: errLost}, func() Event { return w.members() })
	case SendHeartbeat:
		w.beat(h, machine, action)
	case AnswerHeartbeat:
		action.Answer(action.Beat)
	case ReadFleet:
		lost := FleetRead{Host: action.Host.ID, Err: errLost}
		call(string(action.Host.ID), lost, func() Event { return w.fleet(action, lost) })
	case AnswerFleet:
		action.Answer(action.Fleet)
	case FetchConfiguration:
		lost := ConfigurationFetched{Action: action.Fetch, Err: errLost}
		call(action.from(), lost, func() Event { return w.configuration(action) })
	case InstanceAction:
		lost := w.resultOf(action)
		lost.Err = errLost
		if w.forge != nil {
			lost = w.forge(action, lost)
		}
		if w.awaits(action) {
			w.after(copies, func() { w.act(h, machine, action) })
			return
		}
		call(string(action.Instance.ID), lost, func() Event { return w.instances[action.Instance.ID].serve(w, action) })
	}
}

// awaits reports whether an instance has yet to copy the point that a call awaits.
func (w *world) awaits(action InstanceAction) bool {
	f := w.instances[action.Instance.ID]
	if f.down || f.role != model.RoleReplica {
		return false
	}
	if action.Call == CallAdopt {
		return f.leader == action.Primary.ID && f.term <= action.Term && !Adopted(f.state(), action.Term)
	}
	return action.Call == CallAwait && f.timeline.Relate(f.point(), action.Point) != model.Covered
}

// copyAll lets every replica copy all entries of its leader, again and again.
func (w *world) copyAll() {
	for _, f := range w.instances {
		if f.role == model.RoleReplica && w.reaches(string(f.place.ID), string(f.leader)) {
			f.replicate(1000)
		}
	}
	w.after(copies, w.copyAll)
}

// beat carries a heartbeat to another host and its answer back.
func (w *world) beat(h *fakeHost, machine *Machine, action SendHeartbeat) {
	from, to := string(h.host.ID), string(action.Host.ID)
	lost := HeartbeatSent{Host: action.Host.ID, Err: errLost}
	answered := false
	answer := func(beat Heartbeat) {
		if !w.reaches(to, from) {
			return
		}
		w.after(w.delay(), func() {
			if !answered {
				answered = true
				w.deliver(h, machine, HeartbeatSent{Host: action.Host.ID, Beat: beat})
			}
		})
	}
	w.after(timeout, func() {
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
	w.after(w.delay(), func() { w.deliver(peer, run, HeartbeatIn{Beat: action.Beat, Answer: answer}) })
}

// fleet asks a host for all that it knows.
func (w *world) fleet(action ReadFleet, lost Event) Event {
	peer := w.hosts[action.Host.ID]
	result := lost
	if !peer.down && !peer.paused {
		answer := func(known Fleet) { result = FleetRead{Host: action.Host.ID, Fleet: known} }
		w.deliver(peer, peer.machine, FleetAsked{Answer: answer})
	}
	return result
}

// serving returns the hosts that serve the database, in order.
func (w *world) serving(id model.DatabaseID) []model.HostID {
	var serving []model.HostID
	for name, h := range w.hosts {
		if d := h.machine.Snapshot().Databases[id]; !h.down && d != nil && d.Serving {
			serving = append(serving, name)
		}
	}
	slices.Sort(serving)
	return serving
}

// database returns the view that a host has of a database.
func (w *world) database(host model.HostID, id model.DatabaseID) *view.Database {
	return w.hosts[host].machine.Snapshot().Databases[id]
}
