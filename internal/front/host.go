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
	"redwingspread/internal/directory"
	"redwingspread/internal/event"
	"redwingspread/internal/governor"
	"redwingspread/internal/mesh"
	"redwingspread/internal/model"
	"redwingspread/internal/place"
	"redwingspread/internal/session"
	"redwingspread/internal/settings"
)

const (
	controlInterval = 50 * time.Millisecond // a fraction of the time in which a primary counts as silent
	minTickInterval = 20 * time.Millisecond // between two ticks that traffic asks for
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
	Loop *control.Loop[governor.Event, governor.Action, *governor.View]

	regions         map[model.DataCentreID]model.RegionID
	mesh            *mesh.Node
	self            governor.Host
	counters        *counters
	stage           atomic.Int32
	lastTrafficTick atomic.Int64
	sessionsOpened  atomic.Int64 // that were ever opened
	loggedReady     atomic.Bool  // as it was logged last

	mutex        sync.RWMutex
	replicaSets  map[model.DatabaseID]*replicaSet
	backends     map[model.InstanceID]*backend
	openSessions map[*callerSession]struct{}
}

// The stages of a host's life.
const (
	stageRunning     int32 = iota
	stageDraining          // sessions without a transaction end
	stageTerminating       // all sessions end
)

// New returns a host whose exported fields are to be set before Run.
func New() *Host {
	return &Host{
		counters:     newCounters(),
		replicaSets:  make(map[model.DatabaseID]*replicaSet),
		backends:     make(map[model.InstanceID]*backend),
		openSessions: make(map[*callerSession]struct{}),
	}
}

// view returns the newest state that control published.
func (h *Host) view() *governor.View { return h.Loop.Snapshot() }

// draining reports whether sessions without a transaction are to end.
func (h *Host) draining() bool { return h.stage.Load() >= stageDraining }

// terminating reports whether all sessions are to end.
func (h *Host) terminating() bool { return h.stage.Load() >= stageTerminating }

// replicaSet returns a database as traffic sees it, or nil.
func (h *Host) replicaSet(database model.DatabaseID) *replicaSet {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.replicaSets[database]
}

// backend returns an instance as traffic sees it, or nil.
func (h *Host) backend(id model.InstanceID) *backend {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.backends[id]
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
	h.self = governor.Host{
		ID:          h.Settings.Host,
		Address:     h.Settings.MeshAddress,
		DataCentre:  h.Settings.DataCentre,
		Incarnation: model.Incarnation(time.Now().UnixNano()),
	}
	machine := governor.New()
	machine.Self = h.self
	machine.Logger = h.Logger
	machine.SetGrace(h.Settings.LeaveLimit / 2) // the other half is for work that was on its way
	h.Loop = control.New(machine)
	h.Loop.Do = h.execute
	h.Loop.Tick = controlInterval
	h.Loop.TickEvent = func() governor.Event { return h.newTick() }
	h.mesh = mesh.New()
	h.mesh.Host = h.self.ID
	h.mesh.Address = h.self.Address
	h.mesh.Regions = h.regions
	h.mesh.Logger = h.Logger
	h.mesh.Directory = func() *directory.Directory { return h.view().Directory }
	h.mesh.OnHeartbeat = func(beat governor.Beat, from model.Address) {
		h.Loop.Offer(governor.Heard{Beat: beat, From: from})
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
	start(h.serveReadiness)
	start(h.serveMetrics)
	go h.acceptSessions(life, listener, accepted)
	select {
	case <-ctx.Done():
		h.stop(listener, accepted)
	case err = <-ended:
		parts--
		err = fmt.Errorf("front: a part ended: %w", err)
		h.stage.Store(stageTerminating)
		h.interruptSessions()
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

// newTick returns what traffic saw of the instances.
func (h *Host) newTick() governor.Tick {
	now := time.Now()
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	tick := governor.Tick{Health: make([]governor.Report, 0, len(h.backends))}
	for _, m := range h.backends {
		tick.Health = append(tick.Health, m.report(now))
	}
	return tick
}

// tickNow has control look at the instances at once.
func (h *Host) tickNow() {
	now, last := time.Now().UnixNano(), h.lastTrafficTick.Load()
	if now-last < int64(minTickInterval) || !h.lastTrafficTick.CompareAndSwap(last, now) {
		return
	}
	h.Loop.Offer(h.newTick())
}

// reconcile follows the view with the lanes of the instances until the context ends, and reports its end on done.
func (h *Host) reconcile(ctx context.Context, done chan<- error) {
	for {
		changed := h.Loop.Changed()
		h.syncBackends(ctx, h.view())
		select {
		case <-changed:
		case <-ctx.Done():
			h.syncBackends(ctx, &governor.View{Directory: &directory.Directory{}})
			done <- ctx.Err()
			return
		}
	}
}

// syncBackends makes the lanes those of the view's instances.
func (h *Host) syncBackends(ctx context.Context, view *governor.View) {
	var gone []*backend
	h.mutex.Lock()
	for id, m := range h.backends {
		entry, found := view.Directory.Instances[id]
		if !found || entry.Address != m.instance.Address || entry.Born != m.instance.Born || entry.Database != m.instance.Database {
			gone = append(gone, m)
			h.removeBackend(m)
		}
	}
	for id, entry := range view.Directory.Instances {
		m, found := h.backends[id]
		if !found {
			m = h.addBackend(ctx, entry)
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

// addBackend adds an instance.
func (h *Host) addBackend(ctx context.Context, entry directory.Instance) *backend {
	g, found := h.replicaSets[entry.Database]
	if !found {
		g = &replicaSet{}
		h.replicaSets[entry.Database] = g
	}
	trip := place.Trip(entry.DataCentre == h.Settings.DataCentre, h.regions[entry.DataCentre] == h.regions[h.Settings.DataCentre])
	m := newBackend(ctx, g, entry, trip, h.Platform.Dial)
	h.backends[entry.ID] = m
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.backends = append(append([]*backend(nil), g.backends...), m)
	return m
}

// removeBackend removes an instance; statements on their way to it end by themselves.
func (h *Host) removeBackend(m *backend) {
	delete(h.backends, m.instance.ID)
	m.replicaSet.mutex.Lock()
	defer m.replicaSet.mutex.Unlock()
	var rest []*backend
	for _, other := range m.replicaSet.backends {
		if other != m {
			rest = append(rest, other)
		}
	}
	m.replicaSet.backends = rest
}

// acceptSessions serves each session in a goroutine of its own until the listener is closed and all have ended.
func (h *Host) acceptSessions(ctx context.Context, listener net.Listener, done chan<- error) {
	ended := make(chan error)
	open := 0
	conns := make(chan net.Conn)
	failed := make(chan error, 1)
	go acceptConns(ctx, listener, conns, failed)
	for conns != nil || open > 0 {
		select {
		case conn := <-conns:
			open++
			go h.serveSession(ctx, conn, open > h.Settings.SessionLimit, ended)
		case <-failed:
			conns, failed = nil, nil
		case <-ended:
			open--
		}
	}
	done <- nil
}

// acceptConns hands on connections until the listener is closed and reports its end on done.
func acceptConns(ctx context.Context, listener net.Listener, conns chan<- net.Conn, done chan<- error) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			done <- err
			return
		}
		if err != nil {
			_ = clock.Pause(ctx, acceptRetryDelay) // descriptors are short for a moment; the context ends the listener too
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

// acceptRetryDelay is the wait after a connection that could not be accepted.
const acceptRetryDelay = 10 * time.Millisecond

// serveSession serves one session and reports its end on done.
func (h *Host) serveSession(ctx context.Context, conn net.Conn, full bool, done chan<- error) {
	caller := h.Platform.NewCaller(conn)
	v := &callerSession{
		host:    h,
		caller:  caller,
		id:      model.SessionID(strconv.FormatInt(h.sessionsOpened.Add(1), 36)),
		tracker: session.NewAccount(),
	}
	h.counters.Sessions.Add(1)
	h.addSession(v)
	var err error
	if full {
		err = caller.RejectSession(model.Refuse(model.CodeConnectionsFull, "the host has as many sessions as it may"))
	} else {
		err = v.serve(ctx)
	}
	h.removeSession(v)
	h.counters.Sessions.Add(-1)
	done <- errors.Join(err, caller.Close())
}

// addSession remembers an open session.
func (h *Host) addSession(v *callerSession) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.openSessions[v] = struct{}{}
}

// removeSession forgets a session.
func (h *Host) removeSession(v *callerSession) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.openSessions, v)
}

// interruptSessions ends the waits of all sessions for requests, so that they look at the host's stage.
func (h *Host) interruptSessions() {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	for v := range h.openSessions {
		v.caller.Interrupt()
	}
}

// SetDroppedLines sets the function that counts the log lines left out, for the metrics.
func (h *Host) SetDroppedLines(count func() uint64) { h.counters.DroppedLines = count }
