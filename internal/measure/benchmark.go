package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/local"
	"redwingspread/internal/model"
	"redwingspread/internal/outbound"
	"redwingspread/pkg/client"
)

// Bench is one user's deployment with the latencies of the brief.
type Bench struct {
	// Deployment is what is measured.
	Deployment *local.Deployment
	// Progress takes a line for each step.
	Progress io.Writer
	// Seed names the requests of this run.
	Seed uint64

	report    *Report
	transport http.RoundTripper
	payments  map[model.DatabaseID][]payment
	number    int
}

// The limits of a bench.
const (
	readyLimit = 20 * time.Second
	stopLimit  = time.Second
)

// New returns a bench of the plan.
func New(plan local.Plan) *Bench {
	b := &Bench{
		Deployment: local.New(plan),
		Progress:   io.Discard,
		report:     NewReport(plan.User),
		payments:   map[model.DatabaseID][]payment{},
	}
	b.Deployment.StopLimit = stopLimit
	b.transport = delay{next: outbound.NewTransport(), oneWay: plan.ToCallers}
	return b
}

// Run takes the measures and returns their report.
func (b *Bench) Run(ctx context.Context) (report *Report, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("measure %s: %w", b.Deployment.Plan.User, err)
		}
	}()
	b.Deployment.WrapOutbound = b.delayCalls
	b.Deployment.WrapPeer = b.delayCalls
	if err := b.Deployment.Start(ctx); err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, b.Deployment.Stop()) }()
	limit, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if err := b.Deployment.Ready(limit); err != nil {
		return nil, err
	}
	for _, step := range []func(context.Context) error{b.measureReads, b.measureHop, b.measureOutage, b.measureGaps, b.auditPayments} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return b.report, nil
}

// session returns a session that begins at one host.
func (b *Bench) session(host int) *client.Session {
	return b.client(host).Session()
}

// client returns a client whose first host is the given one.
func (b *Bench) client(host int) *client.Client {
	var addresses []model.Address
	for turn := range b.Deployment.Hosts {
		next := b.Deployment.Hosts[(host+turn)%len(b.Deployment.Hosts)]
		addresses = append(addresses, next.Settings.CallerAddress)
	}
	made := client.New(addresses...)
	made.Transport = b.Deployment.Transport(b.transport)
	return made
}

// delay is a transport that takes the time of a link, both ways.
type delay struct {
	next   http.RoundTripper
	oneWay time.Duration
}

// RoundTrip sends the request after the way there and hands the answer over after the way back.
func (d delay) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := clock.Pause(r.Context(), d.oneWay); err != nil {
		return nil, err
	}
	answer, err := d.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := clock.Pause(r.Context(), d.oneWay); err != nil {
		return nil, errors.Join(err, answer.Body.Close())
	}
	return answer, nil
}

// placed is a transport that takes the time between a host and what it calls.
type placed struct {
	next  http.RoundTripper
	bench *Bench
	from  model.Host
}

// RoundTrip takes the time of the link to the request's address.
func (p placed) RoundTrip(r *http.Request) (*http.Response, error) {
	return delay{next: p.next, oneWay: p.bench.between(p.from, model.Address(r.URL.Host))}.RoundTrip(r)
}

// delayCalls returns the layer that delays a host's calls.
func (b *Bench) delayCalls(host model.Host) func(http.RoundTripper) http.RoundTripper {
	return func(next http.RoundTripper) http.RoundTripper {
		return placed{next: next, bench: b, from: host}
	}
}

// between returns the time from a host to the instance or host at an address, which is none for the platform.
func (b *Bench) between(from model.Host, address model.Address) time.Duration {
	place, found := b.placeOf(address)
	switch {
	case !found || place.DataCentre == from.DataCentre:
		return 0
	case place.Region == from.Region:
		return b.Deployment.Plan.BetweenCentres
	}
	return b.Deployment.Plan.BetweenRegions
}

// placeOf returns where the instance or host at an address is.
func (b *Bench) placeOf(address model.Address) (local.Place, bool) {
	for _, one := range b.Deployment.Instances {
		if one.Address == address {
			return one.Place, true
		}
	}
	for _, host := range b.Deployment.Hosts {
		if host.Settings.PeerAddress == address {
			return local.Place{DataCentre: host.Settings.DataCentre, Region: host.Settings.Region}, true
		}
	}
	return local.Place{}, false
}
