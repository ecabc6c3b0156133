package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"redwingspread/internal/ack"
	"redwingspread/internal/auth"
	"redwingspread/internal/budget"
	"redwingspread/internal/config"
	"redwingspread/internal/control"
	"redwingspread/internal/endpoint"
	"redwingspread/internal/event"
	"redwingspread/internal/fleet"
	"redwingspread/internal/model"
	"redwingspread/internal/outbound"
	"redwingspread/internal/owner"
	"redwingspread/internal/ownership"
	"redwingspread/internal/peer"
	"redwingspread/internal/platform"
	"redwingspread/internal/proxy"
	"redwingspread/internal/route"
	"redwingspread/internal/runner"
	"redwingspread/internal/session"
	"redwingspread/internal/settings"
	"redwingspread/internal/trace"
	"redwingspread/internal/view"
)

// tickInterval is the time between two tick events of the control loop.
const tickInterval = 20 * time.Millisecond

// controlLoop is the loop that owns the host's control state.
type controlLoop = control.Loop[fleet.Event, fleet.Action, *view.View]

// Daemon runs one host.
type Daemon struct {
	// Settings are the validated settings of the host.
	Settings settings.Serve
	// Keys authenticate the host to its peers.
	Keys *auth.Keys
	// Logger logs the numbered events.
	Logger log.Interface
	// Choose selects the instance of each read; measurements replace it by a baseline.
	Choose route.Chooser
	// WrapOutbound adds middleware, such as a delay, around the transport to endpoints and to the platform.
	WrapOutbound func(http.RoundTripper) http.RoundTripper
	// WrapPeer adds middleware around the transport to peers.
	WrapPeer func(http.RoundTripper) http.RoundTripper

	host          model.Host
	openAccess    bool // no request needs a token
	firstOperator config.Token
	tracer        *trace.Tracer
	store         *platform.Client
	loop          *controlLoop
	publishedLoop atomic.Pointer[controlLoop]
	peers         *peer.Client
	instances     *owner.Instances
	executor      *owner.Executor
	proxy         *proxy.Proxy
	components    []component
	replaced      atomic.Int64   // connections closed in favour of others
	memory        *budget.Budget // for bodies of requests and for answers; nil for no limit
}

// New returns a daemon; Settings and Keys must be set before Run.
func New() *Daemon {
	identity := func(next http.RoundTripper) http.RoundTripper { return next }
	return &Daemon{
		Logger:       log.Log,
		Choose:       route.Choose,
		WrapOutbound: identity,
		WrapPeer:     identity,
	}
}

// Run serves until the context ends, then stops gracefully and sends its result on done.
func (d *Daemon) Run(ctx context.Context, done chan<- error) {
	done <- d.run(ctx)
}

// View returns the current view of the fleet, or nil before the control loop is built.
func (d *Daemon) View() *view.View {
	loop := d.publishedLoop.Load()
	if loop == nil {
		return nil
	}
	return loop.Snapshot()
}

// run builds the components, runs them and stops them in order.
func (d *Daemon) run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("host %s: %w", d.Settings.Host, err)
		}
	}()
	if err := d.build(ctx); err != nil {
		return err
	}
	event.Started(d.Logger, "host", string(d.host.ID), string(d.Settings.CallerAddress))
	err = d.serve(ctx)
	err = errors.Join(err, d.peers.Close(), d.tracer.Shutdown(context.WithoutCancel(ctx)))
	event.Stopped(d.Logger, string(d.host.ID))
	return err
}

// build creates the components of the host.
func (d *Daemon) build(ctx context.Context) (err error) {
	s := d.Settings
	d.host = model.Host{ID: s.Host, Address: s.PeerAddress, DataCentre: s.DataCentre, Region: s.Region}
	if d.openAccess, err = auth.OpenAccess(s); err != nil {
		return err
	}
	if d.firstOperator, err = auth.FirstOperator(s); err != nil {
		return err
	}
	d.tracer, err = trace.New(ctx, s.Host, trace.Exporter(s.Trace), s.TraceAddress)
	if err != nil {
		return err
	}
	if err := d.buildPeers(); err != nil {
		return err
	}
	d.memory = d.newBudget()
	d.buildControl()
	d.buildOwner()
	d.buildProxy()
	return d.buildServers()
}

// buildPeers opens the client for calls to the other hosts.
func (d *Daemon) buildPeers() error {
	d.peers = peer.NewClient()
	d.peers.TLS = d.Keys.ClientTLS()
	d.peers.Wrap = func(next http.RoundTripper) http.RoundTripper {
		return d.tracer.Transport("peer", d.WrapPeer(next))
	}
	return d.peers.Open()
}

// buildControl creates the control loop and the runner of its actions.
func (d *Daemon) buildControl() {
	d.store = platform.NewClient()
	d.store.Host = d.host.ID
	d.store.Address = d.Settings.PlatformAddress
	d.store.HTTP = d.httpClient("platform")
	machine := fleet.New()
	machine.Self = d.host
	machine.Incarnation = model.Incarnation(time.Now().UnixNano())
	machine.NewNonce = newNonce
	d.instances = owner.NewInstances()
	runner := runner.New()
	runner.Store = d.store
	runner.InstanceClient = d.instances.Client
	runner.Peers = d.peers
	runner.Logger = d.Logger
	runner.PeerConfiguration = d.peers.Configuration
	d.loop = control.New[fleet.Event, fleet.Action, *view.View](machine)
	d.loop.Do = runner.Do
	d.loop.TickEvent = func() fleet.Event { return fleet.Tick{} }
	d.loop.TickInterval = tickInterval
	d.publishedLoop.Store(d.loop)
}

// buildOwner creates the executor, which runs work on the databases that this host owns.
func (d *Daemon) buildOwner() {
	d.instances.Host = d.host.ID
	d.instances.View = d.loop.Snapshot
	d.instances.Changed = d.loop.Changed
	httpClient := d.httpClient("endpoint")
	httpClient.Transport = outbound.LimitAnswers(httpClient.Transport)
	d.instances.Connect = func(instance model.Instance) endpoint.Instance {
		client := endpoint.NewClient()
		client.Host = d.host.ID
		client.Target = instance
		client.HTTP = httpClient
		return client
	}
	d.executor = owner.New()
	d.executor.Host = d.host
	d.executor.View = d.loop.Snapshot
	d.executor.Changed = d.loop.Changed
	d.executor.Instances = d.instances
	d.executor.Choose = d.Choose
	d.executor.Gate = ack.New()
	d.executor.Gate.Client = d.instances.Client
	d.executor.Gate.ReadRow = (&ownership.Table{Store: d.store}).Get
	observer := owner.NewObserver()
	observer.Offer = func(state model.InstanceState) { d.loop.Offer(fleet.StateObserved{State: state}) }
	d.executor.Observe = observer.Observe
	d.executor.Gate.Observe = observer.Observe
	d.executor.ReportUnreachable = func(instance model.InstanceID, term model.Term) {
		d.loop.Offer(fleet.InstanceFailed{Instance: instance, Term: term})
	}
}

// buildProxy creates the proxy, which accepts callers' requests.
func (d *Daemon) buildProxy() {
	d.proxy = proxy.New()
	d.proxy.Host = d.host
	d.proxy.View = d.loop.Snapshot
	d.proxy.Changed = d.loop.Changed
	d.proxy.Local = d.executor
	d.proxy.Peer = d.peers.Service
	d.proxy.Codec = &session.Codec{Key: []byte(d.Settings.TokenKey), OldKey: []byte(d.Settings.TokenKeyOld)}
	d.proxy.NewSession = newSession
	d.proxy.Limiter.Limit = d.Settings.RequestLimit
	d.proxy.Redirect = func(database model.DatabaseID, host model.HostID, term model.Term) {
		d.loop.Offer(fleet.Redirected{Database: database, Owner: host, Term: term})
	}
}

// httpClient returns an HTTP client whose calls are traced as spans of the hop.
func (d *Daemon) httpClient(hop string) *http.Client {
	return &http.Client{Transport: d.tracer.Transport(hop, d.WrapOutbound(outbound.NewTransport()))}
}
