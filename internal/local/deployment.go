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

// Deployment is one user's stand-ins and hosts in this process.
type Deployment struct {
	// Plan is the size of the deployment.
	Plan Plan
	// Logger takes the hosts' events.
	Logger log.Interface
	// Choose chooses the instance of each read.
	Choose route.Chooser
	// WrapOutbound adds a layer around a host's calls to endpoints and to the platform.
	WrapOutbound func(host model.Host) func(http.RoundTripper) http.RoundTripper
	// WrapPeer adds a layer around a host's calls to its peers.
	WrapPeer func(host model.Host) func(http.RoundTripper) http.RoundTripper
	// Configure changes the settings of a host before its start.
	Configure func(*settings.Serve)
	// StopLimit is the time that work in progress has to end at a stop.
	StopLimit time.Duration

	// Platform is the stand-in of the platform's service.
	Platform *platform.Platform
	// Instances are the stand-in instances by name.
	Instances map[model.InstanceID]*Instance
	// Hosts are the hosts in their order.
	Hosts []*Host

	platformAddress model.Address
	cuts            *cuts
	back            *group
}

// Instance is one running stand-in instance.
type Instance struct {
	*instance.Instance
	Place   Place
	Address model.Address
	group   *group
}

// Host is one host of the deployment.
type Host struct {
	Settings settings.Serve
	material auth.KeyMaterial
	daemon   *daemon.Daemon
	stop     context.CancelFunc
	done     chan error
}

// materialLife is how long the hosts' made-up certificates last.
const materialLife = 24 * time.Hour

// listLag is the lag of the platform's list of members.
const listLag = 2 * time.Second

// New returns a deployment whose exported fields are to be set before Start.
func New(plan Plan) *Deployment {
	none := func(model.Host) func(http.RoundTripper) http.RoundTripper {
		return func(next http.RoundTripper) http.RoundTripper { return next }
	}
	return &Deployment{
		Plan:         plan,
		Logger:       &log.Logger{Handler: log.HandlerFunc(func(*log.Entry) error { return nil })},
		Choose:       route.Choose,
		WrapOutbound: none,
		WrapPeer:     none,
		Configure:    func(*settings.Serve) {},
		StopLimit:    10 * time.Second,
		Instances:    map[model.InstanceID]*Instance{},
		cuts:         newCuts(),
	}
}

// Start starts the stand-ins and every host.
func (d *Deployment) Start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = errors.Join(fmt.Errorf("local: %w", err), d.Stop())
		}
	}()
	d.back = newGroup(context.WithoutCancel(ctx))
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

// Stop ends every host, then the stand-ins.
func (d *Deployment) Stop() error {
	var err error
	for index := range d.Hosts {
		err = errors.Join(err, d.StopHost(index))
	}
	for _, one := range d.Instances {
		err = errors.Join(err, one.group.stop())
	}
	return errors.Join(err, d.back.stop())
}

// StopHost ends one host gracefully; a stopped host stays stopped.
func (d *Deployment) StopHost(index int) error {
	host := d.Hosts[index]
	if host.stop == nil {
		return nil
	}
	host.stop()
	host.stop = nil
	return <-host.done
}

// StopInstance ends one stand-in instance at once, as a crash does.
func (d *Deployment) StopInstance(id model.InstanceID) error {
	return d.Instances[id].group.stop()
}

// StartHost starts one host.
func (d *Deployment) StartHost(index int) (err error) {
	host := d.Hosts[index]
	made := daemon.New()
	made.Settings = host.Settings
	made.Logger = d.Logger
	made.Choose = d.Choose
	made.Keys, err = auth.LoadKeys(host.material)
	if err != nil {
		return err
	}
	at := model.Host{ID: host.Settings.Host, DataCentre: host.Settings.DataCentre, Region: host.Settings.Region}
	made.WrapOutbound = d.wrapCuts(at.ID, d.WrapOutbound(at))
	made.WrapPeer = d.wrapCuts(at.ID, d.WrapPeer(at))
	ctx, stop := context.WithCancel(context.Background())
	host.daemon = made
	host.stop = stop
	host.done = make(chan error, 1)
	go made.Run(ctx, host.done)
	return nil
}

// startInstances starts every instance of every database; the first one is the primary.
func (d *Deployment) startInstances() error {
	for _, database := range d.Plan.Databases {
		var primary model.Address
		for index, place := range d.Plan.Places {
			started, err := d.startInstance(database, index, place, primary)
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

// startInstance starts one stand-in instance.
func (d *Deployment) startInstance(database model.DatabaseID, index int, place Place, primary model.Address) (*Instance, error) {
	listener, address, err := listenTCP()
	if err != nil {
		return nil, err
	}
	made := instance.New()
	made.ID = instanceID(database, index)
	made.Database = database
	made.Primary = primary
	made.Slots = d.Plan.Slots
	made.Connections = d.Plan.Connections
	made.ConnectionCost = d.Plan.ConnectionCost
	made.ServiceTime = d.Plan.ServiceTime
	made.Lag = d.Plan.Lag
	started := &Instance{Instance: made, Place: place, Address: address, group: newGroup(context.Background())}
	started.group.run(made.Run)
	started.group.run(serving(listener, made.Handler()))
	d.Instances[made.ID] = started
	return started, nil
}

// startPlatform starts the platform's stand-in with every member on its list.
func (d *Deployment) startPlatform() error {
	listener, err := net.Listen("tcp", string(d.platformAddress))
	if err != nil {
		return err
	}
	d.Platform = platform.New()
	d.Platform.ListLag = listLag
	d.Platform.Members = d.members()
	d.back.run(d.Platform.Run)
	d.back.run(serving(listener, d.Platform.Handler()))
	return nil
}

// members returns the platform's list of hosts and instances.
func (d *Deployment) members() []platform.Member {
	var members []platform.Member
	for _, host := range d.Hosts {
		s := host.Settings
		members = append(members, platform.Member{
			Role:       platform.RoleHost,
			ID:         string(s.Host),
			Address:    s.PeerAddress,
			DataCentre: s.DataCentre,
			Region:     s.Region,
		})
	}
	for id, one := range d.Instances {
		members = append(members, platform.Member{
			Role:       platform.RoleEndpoint,
			ID:         string(id),
			Address:    one.Address,
			DataCentre: one.Place.DataCentre,
			Region:     one.Place.Region,
			Database:   one.Database,
		})
	}
	return members
}

// serving returns the run of an HTTP server on the listener.
func serving(listener net.Listener, handler http.Handler) func(context.Context, chan<- error) {
	return func(ctx context.Context, done chan<- error) {
		standin.Serve(ctx, listener, handler, done)
	}
}

// View returns the host's newest view of the fleet, or nil while it is not running.
func (h *Host) View() *view.View {
	if h.daemon == nil {
		return nil
	}
	return h.daemon.View()
}
