package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"redwingspread/internal/clock"
	"redwingspread/internal/control"
	"redwingspread/internal/controller"
	"redwingspread/internal/directory"
	"redwingspread/internal/event"
	"redwingspread/internal/mesh"
	"redwingspread/internal/model"
	"redwingspread/internal/placement"
	"redwingspread/internal/session"
	"redwingspread/internal/settings"
)

const (
	controlTick = 50 * time.Millisecond // a fraction of the time in which a primary counts as silent
	pokeSpacing = 20 * time.Millisecond // between two ticks that traffic asks for
)

// Host is one host that serves sessions on a platform.
type Host struct {
	// Settings are the checked settings.
	Settings settings.Front
	// Platform is what the host runs on.
	Platform Platform
	// Logger takes the events; it never blocks.
	Logger log.Interface
	// Loop owns the control state.
	Loop *control.Loop[controller.Event, controller.Action, *controller.View]

	regions  map[model.DataCentreID]model.RegionID
	mesh     *mesh.Mesh
	self     controller.Host
	counters *counters
	stage    atomic.Int32
	poked    atomic.Int64
	sessions atomic.Int64 // that were ever opened
	ready    atomic.Bool  // as it was logged last

	mutex   sync.RWMutex
	groups  map[model.DatabaseID]*group
	members map[model.InstanceID]*member
	visits  map[*visit]struct{}
}

// The stages of a host's life.
const (
	running int32 = iota
	closing       // sessions without a transaction end
	halting       // all sessions end
)

// New returns a host whose exported fields are to be set before Run.
func New() *Host {
	return &Host{
		counters: newCounters(),
		groups:   make(map[model.DatabaseID]*group),
		members:  make(map[model.InstanceID]*member),
		visits:   make(map[*visit]struct{}),
	}
}

// view returns the newest state that control published.
func (h *Host) view() *controller.View { return h.Loop.Snapshot() }

// closing reports whether sessions without a transaction are to end.
func (h *Host) closing() bool { return h.stage.Load() >= closing }

// halting reports whether all sessions are to end.
func (h *Host) halting() bool { return h.stage.Load() >= halting }

// group returns a database as traffic sees it, or nil.
func (h *Host) group(database model.DatabaseID) *group {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.groups[database]
}

// member returns an instance as traffic sees it, or nil.
func (h *Host) member(id model.InstanceID) *member {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.members[id]
}

// prepare makes the parts from the settings.
func (h *Host) prepare() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("front: %w", err)
		}
	}()
	if h.regions, err = settings.Regions(h.Settings.DataCentres); err != nil {
		return err
	}
	h.self = controller.Host{
		ID:          h.Settings.Host,
		Address:     h.Settings.MeshAddress,
		DataCentre:  h.Settings.DataCentre,
		Incarnation: model.Incarnation(time.Now().UnixNano()),
	}
	machine := controller.New()
	machine.Self = h.self
	machine.Logger = h.Logger
	machine.SetGrace(h.Settings.LeaveLimit / 2) // the other half is for work that was on its way
	h.Loop = control.New(machine)
	h.Loop.Do = h.act
	h.Loop.TickInterval = controlTick
	h.Loop.TickEvent = func() controller.Event { return h.tick() }
	h.mesh = mesh.New()
	h.mesh.Host = h.self.ID
	h.mesh.Address = h.self.Address
	h.mesh.Regions = h.regions
	h.mesh.Logger = h.Logger
	h.mesh.Directory = func() *directory.Directory { return h.view().Directory }
	h.mesh.Heard = func(beat controller.Heartbeat, from model.Address) {
		h.Loop.Offer(controller.HeartbeatReceived{Heartbeat: beat, From: from})
	}
	return nil
}

// Run serves sessions until the context ends, lets the open ones end in time and reports its own end on done.
func (h *Host) Run(ctx context.Context, done chan<- error) {
	done <- h.run(ctx)
}

// run starts the parts, waits for the end of the context or of a part, and ends the parts in order.
func (h *Host) run(ctx context.Context) (err error) {
	if err := h.prepare(); err != nil {
		return err
	}
	event.Started(h.Logger, "front", string(h.self.ID), string(h.Settings.SessionAddress))
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	ended := make(chan error, 8)
	parts := 0
	start := func(part func(context.Context, chan<- error)) {
		parts++
		go part(life, ended)
	}
	listener, err := net.Listen("tcp4", string(h.Settings.SessionAddress))
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	accepted := make(chan error, 1)
	start(h.Loop.Run)
	start(h.mesh.Run)
	start(h.followAll)
	start(h.reconcile)
	start(h.answerReady)
	start(h.serveMetrics)
	go h.accept(life, listener, accepted)
	select {
	case <-ctx.Done():
		h.stop(listener, accepted)
	case err = <-ended:
		parts--
		err = fmt.Errorf("front: a part ended: %w", err)
		h.stage.Store(halting)
		h.interrupt()
		err = errors.Join(err, listener.Close(), <-accepted)
	}
	end()
	for ; parts > 0; parts-- {
		if partErr := <-ended; partErr != nil && !errors.Is(partErr, context.Canceled) {
			err = errors.Join(err, partErr)
		}
	}
	event.Stopped(h.Logger, string(h.self.ID))
	return err
}

// tick returns what traffic saw of the instances.
func (h *Host) tick() controller.Tick {
	now := time.Now()
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	tick := controller.Tick{Instances: make([]controller.InstanceReport, 0, len(h.members))}
	for _, m := range h.members {
		tick.Instances = append(tick.Instances, m.report(now))
	}
	return tick
}

// poke has control look at the instances at once.
func (h *Host) poke() {
	now, last := time.Now().UnixNano(), h.poked.Load()
	if now-last < int64(pokeSpacing) || !h.poked.CompareAndSwap(last, now) {
		return
	}
	h.Loop.Offer(h.tick())
}

// reconcile follows the view with the lanes of the instances until the context ends, and reports its end on done.
func (h *Host) reconcile(ctx context.Context, done chan<- error) {
	for {
		changed := h.Loop.Changed()
		h.align(ctx, h.view())
		select {
		case <-changed:
		case <-ctx.Done():
			h.align(ctx, &controller.View{Directory: &directory.Directory{}})
			done <- ctx.Err()
			return
		}
	}
}

// align makes the lanes those of the view's instances.
func (h *Host) align(ctx context.Context, view *controller.View) {
	var gone []*member
	h.mutex.Lock()
	for id, m := range h.members {
		entry, found := view.Directory.Instances[id]
		if !found || entry.Address != m.entry.Address || entry.Incarnation != m.entry.Incarnation || entry.Database != m.entry.Database {
			gone = append(gone, m)
			h.leave(m)
		}
	}
	for id, entry := range view.Directory.Instances {
		m, found := h.members[id]
		if !found {
			m = h.join(ctx, entry)
		}
		m.mutex.Lock()
		m.leaving = entry.Leaving
		m.mutex.Unlock()
		if share, found := view.Shares[id]; found {
			m.lane.SetLimits(share.Slots, share.Connections, share.Scarce)
		}
	}
	h.mutex.Unlock()
	for _, m := range gone {
		m.close()
	}
}

// join adds an instance.
func (h *Host) join(ctx context.Context, entry directory.Instance) *member {
	g, found := h.groups[entry.Database]
	if !found {
		g = &group{}
		h.groups[entry.Database] = g
	}
	trip := placement.RoundTrip(entry.DataCentre == h.Settings.DataCentre, h.regions[entry.DataCentre] == h.regions[h.Settings.DataCentre])
	m := newMember(ctx, g, entry, trip, h.Platform.Dial)
	h.members[entry.ID] = m
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.members = append(append([]*member(nil), g.members...), m)
	return m
}

// leave removes an instance; statements on their way to it end by themselves.
func (h *Host) leave(m *member) {
	delete(h.members, m.entry.ID)
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	var rest []*member
	for _, other := range m.group.members {
		if other != m {
			rest = append(rest, other)
		}
	}
	m.group.members = rest
}

// accept serves each session in a goroutine of its own until the listener is closed and all have ended.
func (h *Host) accept(ctx context.Context, listener net.Listener, done chan<- error) {
	ended := make(chan error)
	open := 0
	conns := make(chan net.Conn)
	failed := make(chan error, 1)
	go listen(ctx, listener, conns, failed)
	for conns != nil || open > 0 {
		select {
		case conn := <-conns:
			open++
			go h.visit(ctx, conn, open > h.Settings.SessionLimit, ended)
		case <-failed:
			conns, failed = nil, nil
		case <-ended:
			open--
		}
	}
	done <- nil
}

// listen hands on connections until the listener is closed and reports its end on done.
func listen(ctx context.Context, listener net.Listener, conns chan<- net.Conn, done chan<- error) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			done <- err
			return
		}
		if err != nil {
			_ = clock.Pause(ctx, acceptPause) // descriptors are short for a moment; the context ends the listener too
			continue
		}
		select {
		case conns <- conn:
		case <-ctx.Done():
			done <- ctx.Err()
			return
		}
	}
}

// acceptPause is the wait after a connection that could not be accepted.
const acceptPause = 10 * time.Millisecond

// visit serves one session and reports its end on done.
func (h *Host) visit(ctx context.Context, conn net.Conn, full bool, done chan<- error) {
	caller := h.Platform.Accept(conn)
	v := &visit{
		host:    h,
		caller:  caller,
		id:      model.SessionID(strconv.FormatInt(h.sessions.Add(1), 36)),
		account: session.NewSession(),
	}
	h.counters.Sessions.Add(1)
	h.enlist(v)
	var err error
	if full {
		err = caller.Reject(model.Refuse(model.CodeConnectionsFull, "the host has as many sessions as it may"))
	} else {
		err = v.serve(ctx)
	}
	h.delist(v)
	h.counters.Sessions.Add(-1)
	done <- errors.Join(err, caller.Close())
}

// enlist remembers an open session.
func (h *Host) enlist(v *visit) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.visits[v] = struct{}{}
}

// delist forgets a session.
func (h *Host) delist(v *visit) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.visits, v)
}

// interrupt ends the waits of all sessions for requests, so that they look at the host's stage.
func (h *Host) interrupt() {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	for v := range h.visits {
		v.caller.Interrupt()
	}
}

// Dropped sets the function that counts the log lines left out, for the metrics.
func (h *Host) Dropped(count func() uint64) { h.counters.Dropped = count }
