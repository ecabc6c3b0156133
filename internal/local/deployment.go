package local

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"redwingspread/internal/auth"
	"redwingspread/internal/daemon"
	"redwingspread/internal/model"
	"redwingspread/internal/route"
	"redwingspread/internal/settings"
	"redwingspread/internal/standin"
	"redwingspread/internal/standin/instance"
	"redwingspread/internal/standin/platform"
	"redwingspread/internal/view"
)

// Deployment is the hosts and stand-ins of one user in this process.
type Deployment struct {
	// Plan is the size and the timing of the deployment.
	Plan Plan
	// Logger receives the events of the hosts.
	Logger log.Interface
	// Choose routes each request to an instance.
	Choose route.Chooser
	// WrapOutbound returns the middleware for a host's calls to endpoints and the platform.
	WrapOutbound func(host model.Host) func(http.RoundTripper) http.RoundTripper
	// WrapPeer returns the middleware for a host's calls to its peers.
	WrapPeer func(host model.Host) func(http.RoundTripper) http.RoundTripper
	// Configure changes the settings of a host before its start.
	Configure func(*settings.Serve)
	// StopLimit is the time limit for a host to finish work in progress when it stops.
	StopLimit time.Duration

	// Platform is the stand-in for the platform's service.
	Platform *platform.Platform
	// Instances are the stand-in instances by id.
	Instances map[model.InstanceID]*Instance
	// Hosts are the hosts by index.
	Hosts []*Host

	platformAddress model.Address
	partitions      *partitions
	standinTasks    *taskGroup
}

// Instance is a stand-in instance and its server.
type Instance struct {
	*instance.Instance
	Location Location
	Address  model.Address
	tasks    *taskGroup
}

// Host is one host of the deployment, which may be stopped.
type Host struct {
	Settings    settings.Serve
	keyMaterial auth.KeyMaterial
	daemon      *daemon.Daemon
	stop        context.CancelFunc // nil while the host is stopped
	done        chan error
}

// certificateLifetime is the lifetime of the hosts' generated certificates.
const certificateLifetime = 24 * time.Hour

// memberListLag is the delay after which the platform's member list shows a change.
const memberListLag = 2 * time.Second

// New returns a deployment with default options; its options are set before Start.
func New(plan Plan) *Deployment {
	noWrap := func(model.Host) func(http.RoundTripper) http.RoundTripper {
		return func(next http.RoundTripper) http.RoundTripper { return next }
	}
	return &Deployment{
		Plan:         plan,
		Logger:       &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { return nil })},
		Choose:       route.Choose,
		WrapOutbound: noWrap,
		WrapPeer:     noWrap,
		Configure:    func(*settings.Serve) {},
		StopLimit:    10 * time.Second,
		Instances:    map[model.InstanceID]*Instance{},
		partitions:   newPartitions(),
	}
}

// Start starts the stand-ins, then every host.
func (d *Deployment) Start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("local: %w", err), d.Stop())
		}
	}()
	d.standinTasks = newTaskGroup(context.WithoutCancel(ctx))
	if err := d.prepareHosts(); err != nil {
		return err
	}
	if err := d.startInstances(); err != nil {
		return err
	}
	if err := d.startPlatform(); err != nil {
		return err
	}
	for index := range d.Hosts {
		if err := d.StartHost(index); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops every host, then the stand-ins.
func (d *Deployment) Stop() error {
	var err error
	for index := range d.Hosts {
		err = errors.Join(err, d.StopHost(index))
	}
	for _, standIn := range d.Instances {
		err = errors.Join(err, standIn.tasks.stop())
	}
	return errors.Join(err, d.standinTasks.stop())
}

// StopHost stops a host gracefully; it does nothing if the host is stopped.
func (d *Deployment) StopHost(index int) error {
	host := d.Hosts[index]
	if host.stop == nil {
		return nil
	}
	host.stop()
	host.stop = nil
	return <-host.done
}

// StopInstance stops a stand-in instance at once, like a crash.
func (d *Deployment) StopInstance(id model.InstanceID) error {
	return d.Instances[id].tasks.stop()
}

// StartHost starts a host.
func (d *Deployment) StartHost(index int) (err error) {
	host := d.Hosts[index]
	process := daemon.New()
	process.Settings = host.Settings
	process.Logger = d.Logger
	process.Choose = d.Choose
	process.Keys, err = auth.LoadKeys(host.keyMaterial)
	if err != nil {
		return err
	}
	identity := model.Host{ID: host.Settings.Host, DataCentre: host.Settings.DataCentre, Region: host.Settings.Region}
	process.WrapOutbound = d.wrapPartition(identity.ID, d.WrapOutbound(identity))
	process.WrapPeer = d.wrapPartition(identity.ID, d.WrapPeer(identity))
	ctx, stop := context.WithCancel(context.Background())
	host.daemon = process
	host.stop = stop
	host.done = make(chan error, 1)
	go process.Run(ctx, host.done)
	return nil
}

// startInstances starts every instance of every database; the first instance of each is its primary.
func (d *Deployment) startInstances() error {
	for _, database := range d.Plan.Databases {
		var primary model.Address
		for index, location := range d.Plan.Locations {
			started, err := d.startInstance(database, index, location, primary)
			if err != nil {
				return err
			}
			if index == 0 {
				primary = started.Address
			}
		}
	}
	return nil
}

// startInstance starts a stand-in instance, which replicates from the primary at the address, or is primary if that is empty.
func (d *Deployment) startInstance(database model.DatabaseID, index int, location Location, primary model.Address) (*Instance, error) {
	listener, address, err := listenTCP()
	if err != nil {
		return nil, err
	}
	standIn := instance.New()
	standIn.ID = instanceID(database, index)
	standIn.Database = database
	standIn.Primary = primary
	standIn.Slots = d.Plan.Slots
	standIn.Connections = d.Plan.Connections
	standIn.ConnectionCost = d.Plan.ConnectionCost
	standIn.ServiceTime = d.Plan.ServiceTime
	standIn.Lag = d.Plan.Lag
	started := &Instance{Instance: standIn, Location: location, Address: address, tasks: newTaskGroup(context.Background())}
	started.tasks.run(standIn.Run)
	started.tasks.run(serveHTTP(listener, standIn.Handler()))
	d.Instances[standIn.ID] = started
	return started, nil
}

// startPlatform starts the stand-in for the platform with every host and instance in its member list.
func (d *Deployment) startPlatform() error {
	listener, err := net.Listen("tcp", string(d.platformAddress))
	if err != nil {
		return err
	}
	d.Platform = platform.New()
	d.Platform.ListLag = memberListLag
	d.Platform.Members = d.members()
	d.standinTasks.run(d.Platform.Run)
	d.standinTasks.run(serveHTTP(listener, d.Platform.Handler()))
	return nil
}

// members returns the platform's member list: all hosts and instances.
func (d *Deployment) members() []platform.Member {
	var members []platform.Member
	for _, host := range d.Hosts {
		hostSettings := host.Settings
		members = append(members, platform.Member{
			Role:       platform.RoleHost,
			ID:         string(hostSettings.Host),
			Address:    hostSettings.PeerAddress,
			DataCentre: hostSettings.DataCentre,
			Region:     hostSettings.Region,
		})
	}
	for id, standIn := range d.Instances {
		members = append(members, platform.Member{
			Role:       platform.RoleEndpoint,
			ID:         string(id),
			Address:    standIn.Address,
			DataCentre: standIn.Location.DataCentre,
			Region:     standIn.Location.Region,
			Database:   standIn.Database,
		})
	}
	return members
}

// serveHTTP returns a function that runs an HTTP server on the listener.
func serveHTTP(listener net.Listener, handler http.Handler) func(context.Context, chan<- error) {
	return func(ctx context.Context, done chan<- error) {
		standin.Serve(ctx, listener, handler, done)
	}
}

// View returns the host's current view of the fleet, or nil before its first start.
func (h *Host) View() *view.View {
	if h.daemon == nil {
		return nil
	}
	return h.daemon.View()
}
