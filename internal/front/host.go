package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"redwingspread/internal/admit"
	"redwingspread/internal/boundary"
	"redwingspread/internal/budget"
	"redwingspread/internal/clock"
	"redwingspread/internal/control"
	"redwingspread/internal/controller"
	"redwingspread/internal/directory"
	"redwingspread/internal/event"
	"redwingspread/internal/limit"
	"redwingspread/internal/mesh"
	"redwingspread/internal/model"
	"redwingspread/internal/placement"
	"redwingspread/internal/relay"
	"redwingspread/internal/retry"
	"redwingspread/internal/session"
	"redwingspread/internal/settings"
)

const (
	controlInterval = 50 * time.Millisecond // well below the time after which a primary counts as silent
	minTickInterval = 20 * time.Millisecond // minimum time between two ticks requested by traffic
)

// Host is one host that serves sessions on a platform.
type Host struct {
	// Settings holds the validated settings.
	Settings settings.Front
	// Platform is the platform that the host runs on.
	Platform Platform
	// Logger receives events; it must not block.
	Logger log.Interface
	// Loop owns the control state.
	Loop *control.Loop[controller.Event, controller.Action, *controller.View]
	// Memory is the budget for callers' messages, answers and the state of sessions; nil for none.
	Memory *budget.Budget
	// StartLimit decides until when a statement may wait for an instance.
	StartLimit admit.StartLimit
	// RetryBudget is the number of retries after refusals for lack of room that a success at a database allows.
	RetryBudget float64

	regions            map[model.DataCentreID]model.RegionID
	sharedRegion       bool // some region has several data centres
	mesh               *mesh.Node
	relays             *relay.Client
	relayed            *limit.ShareLimiter[model.HostID] // sessions that other hosts pass on
	allowances         *allowances
	self               controller.Host
	counters           *counters
	stage              atomic.Int32
	stopBegun          atomic.Bool // the host refuses new work that other hosts pass on
	lastTrafficTick    atomic.Int64
	sessionsOpened     atomic.Int64  // opened since the start
	loggedReady        atomic.Bool   // readiness as last logged
	rowsRead           chan struct{} // closed once the hosts' rows have been read
	noteRowsRead       sync.Once
	tablesLost         atomic.Int64 // tables of the store whose newest poll has failed
	lone               atomic.Bool  // the host's row says that it may renew its lease from the store
	startVersions      startVersions
	refusedSeen        atomic.Int64 // refusals of memory for messages at the last tick
	configurationHeard atomic.Int64 // boot-clock time at which the configuration that the host knows was last known to be in force

	mutex        sync.RWMutex
	replicaSets  map[model.DatabaseID]*replicaSet
	backends     map[model.InstanceID]*backend
	openSessions map[*callerSession]struct{}
}

// Values of settings.
const (
	settingOn  = "on"
	fencingOff = "off" // for a platform that doesn't stop a primary when it promotes another instance
)

// Stages of a host's life.
const (
	stageRunning     int32 = iota
	stageDraining          // sessions without an open transaction end
	stageTerminating       // all sessions end
)

// New returns a host; set its exported fields before Run.
func New() *Host {
	return &Host{
		counters:     newCounters(),
		replicaSets:  make(map[model.DatabaseID]*replicaSet),
		backends:     make(map[model.InstanceID]*backend),
		openSessions: make(map[*callerSession]struct{}),
		rowsRead:     make(chan struct{}),
		relays:       relay.NewClient(),
		StartLimit:   admit.NewStartLimit(),
		RetryBudget:  retry.DefaultPerSuccess,
		relayed:      limit.NewShareLimiter[model.HostID](),
	}
}

// view returns the latest state published by the control loop.
func (h *Host) view() *controller.View { return h.Loop.Snapshot() }

// draining reports whether sessions without an open transaction must end.
func (h *Host) draining() bool { return h.stage.Load() >= stageDraining }

// terminating reports whether all sessions must end.
func (h *Host) terminating() bool { return h.stage.Load() >= stageTerminating }

// replicaSet returns the traffic state of a database, or nil.
func (h *Host) replicaSet(database model.DatabaseID) *replicaSet {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.replicaSets[database]
}

// backend returns the traffic state of an instance, or nil.
func (h *Host) backend(id model.InstanceID) *backend {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	return h.backends[id]
}

// prepare creates the components from the settings.
func (h *Host) prepare() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("front: %w", err)
		}
	}()
	if h.regions, err = settings.ParseRegions(h.Settings.DataCentres); err != nil {
		return err
	}
	h.sharedRegion = hasSharedRegion(h.regions)
	relayAddress, err := h.relayAddress()
	if err != nil {
		return err
	}
	h.self = controller.Host{
		ID:          h.Settings.Host,
		Address:     h.Settings.MeshAddress,
		DataCentre:  h.Settings.DataCentre,
		Incarnation: model.Incarnation(time.Now().UnixNano()),
		Relay:       relayAddress,
	}
	c := controller.New()
	c.Self = h.self
	c.Logger = h.Logger
	c.Unfenced = h.unfenced()
	c.Regions = h.regions
	c.SetGrace(h.Settings.LeaveLimit / 2) // the other half is left for requests already in progress
	h.Loop = control.New(c)
	h.Loop.Do = h.execute
	h.Loop.Failed = func(err error) { event.PanicCaught(h.Logger, "control", err) }
	h.Loop.TickInterval = controlInterval
	h.Loop.TickEvent = func() controller.Event {
		h.shedStalled()
		h.logReturned()
		return h.newTick()
	}
	h.mesh = mesh.New()
	h.mesh.Host = h.self.ID
	h.mesh.Address = h.self.Address
	h.mesh.Regions = h.regions
	h.mesh.Logger = h.Logger
	h.relays.Host = h.self.ID
	h.relays.Key = h.mesh.Key
	h.relays.Packer = h.mesh.Packer()
	h.relays.Memory = h.Memory
	h.relayed.Limit = h.sessionLimit() / relayedDivisor
	h.relayed.Now = clock.Boot
	h.mesh.ConnectionLimit = h.listenerLimit()
	h.mesh.Directory = func() *directory.Directory { return h.view().Directory }
	if !h.unfenced() {
		h.mesh.Membership = func() *controller.Membership { return h.view().Membership }
	}
	h.allowances = newAllowances(h)
	h.mesh.OnHeartbeat = func(heartbeat controller.Heartbeat, from model.Address) {
		h.startVersions.note(heartbeat.Version)
		if heartbeat.Follows && heartbeat.Version <= h.view().Directory.Version {
			h.noteConfigurationHeard(clock.Boot())
		}
		received := controller.HeartbeatReceived{Heartbeat: heartbeat, From: from}
		if heartbeat.Asked != 0 {
			received.ArrivedAt = clock.Boot()
		}
		h.Loop.Offer(received)
	}
	return nil
}

// Run serves sessions until the context ends, shuts down within the time limit and sends the result on done.
func (h *Host) Run(ctx context.Context, done chan<- error) {
	done <- h.run(ctx)
}

// run starts the components, waits until the context or a component ends, and shuts down in order.
func (h *Host) run(ctx context.Context) (err error) {
	if err := h.prepare(); err != nil {
		return err
	}
	event.Started(h.Logger, "front", string(h.self.ID), string(h.Settings.SessionAddress))
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := make(chan error, 8)
	running := 0
	start := func(component func(context.Context, chan<- error)) {
		running++
		go component(runCtx, ended)
	}
	listener, err := listenSessions(ctx, h.Settings.SessionAddress)
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	accepted := make(chan error, 1)
	start(h.Loop.Run)
	start(h.mesh.Run)
	start(h.newRelayServer().Run)
	start(h.followAll)
	start(h.reconcile)
	start(h.allowances.run)
	start(h.serveReadiness)
	start(h.serveMetrics)
	go h.acceptSessions(runCtx, listener, accepted)
	select {
	case <-ctx.Done():
		h.stop(listener, accepted)
	case err = <-ended:
		running--
		err = fmt.Errorf("front: component ended: %w", err)
		h.stage.Store(stageTerminating)
		h.interruptSessions()
		err = errors.Join(err, listener.Close(), <-accepted)
	}
	cancel()
	h.relays.Close()
	for ; running > 0; running-- {
		if componentErr := <-ended; componentErr != nil && !errors.Is(componentErr, context.Canceled) {
			err = errors.Join(err, componentErr)
		}
	}
	event.Stopped(h.Logger, string(h.self.ID))
	return err
}

// unfenced reports whether the platform doesn't stop a primary when it promotes another instance.
func (h *Host) unfenced() bool { return h.Settings.Fencing == fencingOff }

// closeOverdue closes connections whose statements are still in progress on replaced primaries; the caller holds the lock.
func (h *Host) closeOverdue(now model.Instant) {
	for _, b := range h.backends {
		if err := b.closeOverdue(now, releaseGrace); err != nil {
			event.DependencyLost(h.Logger, "connection to a replaced primary", err)
		}
	}
}

// newTick returns the health and load of all instances as seen by traffic.
func (h *Host) newTick() controller.Tick {
	now := time.Now()
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	tick := controller.Tick{
		Instances: make([]controller.InstanceReport, 0, len(h.backends)),
		Boot:      clock.Boot(),
		StoreLost: h.tablesLost.Load() > 0,
	}
	if h.unfenced() {
		h.closeOverdue(tick.Boot)
	}
	for _, b := range h.backends {
		tick.Instances = append(tick.Instances, b.report(now))
	}
	return tick
}

// tickNow makes the control loop evaluate the instances at once, at most once per minTickInterval.
func (h *Host) tickNow() {
	now, last := time.Now().UnixNano(), h.lastTrafficTick.Load()
	if now-last < int64(minTickInterval) || !h.lastTrafficTick.CompareAndSwap(last, now) {
		return
	}
	h.Loop.Offer(h.newTick())
}

// reconcile keeps the set of backends in step with the view until the context ends, then sends its result on done.
func (h *Host) reconcile(ctx context.Context, done chan<- error) {
	for {
		changed := h.Loop.Changed()
		h.syncBackends(ctx, h.view())
		select {
		case <-changed:
		case <-ctx.Done():
			h.syncBackends(ctx, &controller.View{Directory: &directory.Directory{}})
			done <- ctx.Err()
			return
		}
	}
}

// syncBackends adds and removes backends to match the view, and applies this host's limits on each instance.
func (h *Host) syncBackends(ctx context.Context, view *controller.View) {
	var removed []*backend
	released := false
	h.mutex.Lock()
	for id, b := range h.backends {
		entry, found := view.Directory.Instances[id]
		if !found || entry.Address != b.instance.Address || entry.Incarnation != b.instance.Incarnation || entry.Database != b.instance.Database {
			removed = append(removed, b)
			h.removeBackend(b)
		}
	}
	for id, entry := range view.Directory.Instances {
		if _, configured := view.Directory.Databases[entry.Database]; !configured {
			continue
		}
		b, found := h.backends[id]
		if !found {
			b = h.addBackend(ctx, entry)
		}
		b.mutex.Lock()
		b.leaving = entry.Leaving
		b.mutex.Unlock()
		b.scheduler.SetPerTenant(view.Directory.Keyed)
		b.scheduler.SetWeights(view.Directory.Weights)
		if b.unfenced && b.applyLease(view.Lease, view.Primaries[entry.Database].Assigned) && b.gate.Closed() != 0 {
			released = true
		}
		if share, found := view.Shares[id]; found {
			b.scheduler.SetLimits(share.Slots, share.Connections, share.Scarce)
			b.scheduler.SetProbing(share.Probes)
		}
	}
	h.mutex.Unlock()
	for _, b := range removed {
		if b.unfenced {
			if err := b.abandon(); err != nil {
				event.DependencyLost(h.Logger, "connection to an instance that is gone", err)
			}
		}
		b.close()
	}
	if released {
		h.tickNow()
	}
}

// addBackend adds an instance; the caller holds the lock.
func (h *Host) addBackend(ctx context.Context, entry directory.Instance) *backend {
	rs, found := h.replicaSets[entry.Database]
	if !found {
		rs = &replicaSet{memory: h.Memory, retries: retry.NewBudget(), outliers: h.newOutliers()}
		rs.retries.PerSuccess = h.RetryBudget
		h.replicaSets[entry.Database] = rs
	}
	edge := h.edgeTo(entry.DataCentre)
	b := newBackend(ctx, rs, entry, placement.RoundTrip(edge), h.Platform.Dial)
	b.edge = edge
	b.unfenced = h.unfenced()
	h.backends[entry.ID] = b
	rs.outliers.add(entry.ID, model.Incarnation(entry.Incarnation))
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	rs.backends = append(append([]*backend(nil), rs.backends...), b)
	return b
}

// removeBackend removes an instance, with the lock held; statements in progress on it finish by themselves.
func (h *Host) removeBackend(b *backend) {
	delete(h.backends, b.instance.ID)
	b.replicaSet.outliers.remove(b.instance.ID)
	b.replicaSet.mutex.Lock()
	defer b.replicaSet.mutex.Unlock()
	var rest []*backend
	for _, other := range b.replicaSet.backends {
		if other != b {
			rest = append(rest, other)
		}
	}
	b.replicaSet.backends = rest
}

// acceptSessions serves each session in its own goroutine until the listener is closed and all sessions have ended.
func (h *Host) acceptSessions(ctx context.Context, listener net.Listener, done chan<- error) {
	ended := make(chan error)
	open := 0
	conns := make(chan net.Conn)
	failed := make(chan error, 1)
	admission := sessionAdmission{host: h, limit: h.sessionLimit()}
	go acceptConns(ctx, listener, conns, failed)
	for conns != nil || open > 0 {
		select {
		case conn := <-conns:
			open++
			go h.serveSession(ctx, conn, !admission.admit(open), ended)
		case <-failed:
			conns, failed = nil, nil
		case <-ended:
			open--
		}
	}
	done <- nil
}

// acceptConns sends accepted connections on conns until the listener is closed, then sends its error on done.
func acceptConns(ctx context.Context, listener net.Listener, conns chan<- net.Conn, done chan<- error) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			done <- err
			return
		}
		if err != nil {
			_ = clock.Pause(ctx, acceptRetryDelay) // transient, such as running out of file descriptors; ending the context also closes the listener
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

// acceptRetryDelay is the wait after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// serveSession serves one session, or refuses one over the session limit, and sends its result on done.
func (h *Host) serveSession(ctx context.Context, conn net.Conn, overLimit bool, done chan<- error) {
	caller := h.Platform.NewCaller(conn)
	s := &callerSession{
		host:   h,
		caller: caller,
		id:     h.newSessionID(),
		state:  session.NewSession(),
	}
	s.state.Room.Init(h.Memory, budget.State, stateReserve)
	h.counters.Sessions.Add(1)
	h.addSession(s)
	var err error
	if overLimit {
		h.noteOverLimit()
		err = caller.RejectSession(model.Refuse(model.CodeConnectionsFull, "the host has as many sessions as it may"))
	} else {
		err = boundary.Run(func() error { return s.serve(ctx) })
		if errors.Is(err, boundary.ErrPanic) {
			event.PanicCaught(h.Logger, "session", err)
		}
	}
	h.removeSession(s)
	s.state.Room.Close()
	h.counters.Sessions.Add(-1)
	done <- errors.Join(err, caller.Close())
}

// newSessionID returns the ID of a new session.
func (h *Host) newSessionID() model.SessionID {
	return model.SessionID(strconv.FormatInt(h.sessionsOpened.Add(1), 36))
}

// relayAddress returns the address at which the host takes requests that other hosts pass on, or an empty one for none.
func (h *Host) relayAddress() (model.Address, error) {
	if h.Settings.Relay != settingOn {
		return "", nil
	}
	address, err := netip.ParseAddrPort(string(h.Settings.MeshAddress))
	if err != nil {
		return "", err
	}
	return model.Address(netip.AddrPortFrom(address.Addr(), address.Port()+1).String()), nil
}

// newRelayServer returns the server of the sessions that other hosts pass on.
func (h *Host) newRelayServer() *relay.Server {
	server := relay.NewServer()
	server.Host = h.self.ID
	server.Address = h.self.Relay
	server.Key = h.mesh.Key
	server.Packer = h.mesh.Packer()
	server.Memory = h.Memory
	server.StreamLimit, server.PendingLimit = h.keptDescriptors(), max(h.keptDescriptors()/pendingShare, 1)
	server.Admit, server.Leave = h.admitRelayed, h.relayed.Release
	server.Serve = h.serveRelayed
	server.Logger = h.Logger
	return server
}

// addSession registers an open session.
func (h *Host) addSession(s *callerSession) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.openSessions[s] = struct{}{}
}

// removeSession unregisters a session.
func (h *Host) removeSession(s *callerSession) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.openSessions, s)
}

// interruptSessions interrupts all sessions that wait for a request, so that they check the host's stage.
func (h *Host) interruptSessions() {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	for s := range h.openSessions {
		s.caller.Interrupt()
	}
}

// SetDroppedLines sets the function that returns the number of dropped log lines, for the metrics.
func (h *Host) SetDroppedLines(count func() uint64) { h.counters.DroppedLines = count }
