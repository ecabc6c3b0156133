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

// Benchmark is one user's deployment with the latencies of the brief.
type Benchmark struct {
	// Deployment is what is measured.
	Deployment *local.Deployment
	// Progress takes a line for each step.
	Progress io.Writer
	// Seed names the requests of this run.
	Seed uint64

	report      *Report
	transport   http.RoundTripper
	attempts    map[model.DatabaseID][]payment
	lastRequest int
}

// The limits of a bench.
const (
	readyLimit = 20 * time.Second
	stopLimit  = time.Second
)

// New returns a bench of the plan.
func New(plan local.Plan) *Benchmark {
	b := &Benchmark{
		Deployment: local.New(plan),
		Progress:   io.Discard,
		report:     NewReport(plan.User),
		attempts:   map[model.DatabaseID][]payment{},
	}
	b.Deployment.StopLimit = stopLimit
	b.transport = delayTransport{next: outbound.NewTransport(), oneWay: plan.ToCallers}
	return b
}

// Run takes the measures and returns their report.
func (b *Benchmark) Run(ctx context.Context) (report *Report, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("measure %s: %w", b.Deployment.Plan.User, err)
		}
	}()
	b.Deployment.WrapOutbound = b.delayOutbound
	b.Deployment.WrapPeer = b.delayOutbound
	if err := b.Deployment.Start(ctx); err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, b.Deployment.Stop()) }()
	limit, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if err := b.Deployment.Ready(limit); err != nil {
		return nil, err
	}
	for _, step := range []func(context.Context) error{b.measureReads, b.measureHopLatency, b.measurePlatformOutage, b.measureFailovers, b.auditPayments} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return b.report, nil
}

// session returns a session that begins at one host.
func (b *Benchmark) session(host int) *client.Session {
	return b.client(host).Session()
}

// client returns a client whose first host is the given one.
func (b *Benchmark) client(host int) *client.Client {
	var addresses []model.Address
	for turn := range b.Deployment.Hosts {
		next := b.Deployment.Hosts[(host+turn)%len(b.Deployment.Hosts)]
		addresses = append(addresses, next.Settings.CallerAddress)
	}
	made := client.New(addresses...)
	made.Transport = b.Deployment.Transport(b.transport)
	return made
}

// delayTransport is a transport that takes the time of a link, both ways.
type delayTransport struct {
	next   http.RoundTripper
	oneWay time.Duration
}

// RoundTrip sends the request after the way there and hands the answer over after the way back.
func (d delayTransport) RoundTrip(r *http.Request) (*http.Response, error) {
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

// linkTransport is a transport that takes the time between a host and what it calls.
type linkTransport struct {
	next      http.RoundTripper
	benchmark *Benchmark
	from      model.Host
}

// RoundTrip takes the time of the link to the request's address.
func (p linkTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return delayTransport{next: p.next, oneWay: p.benchmark.linkLatency(p.from, model.Address(r.URL.Host))}.RoundTrip(r)
}

// delayOutbound returns the layer that delays a host's calls.
func (b *Benchmark) delayOutbound(host model.Host) func(http.RoundTripper) http.RoundTripper {
	return func(next http.RoundTripper) http.RoundTripper {
		return linkTransport{next: next, benchmark: b, from: host}
	}
}

// linkLatency returns the time from a host to the instance or host at an address, which is none for the platform.
func (b *Benchmark) linkLatency(from model.Host, address model.Address) time.Duration {
	place, found := b.locate(address)
	switch {
	case !found || place.DataCentre == from.DataCentre:
		return 0
	case place.Region == from.Region:
		return b.Deployment.Plan.BetweenCentres
	}
	return b.Deployment.Plan.BetweenRegions
}

// locate returns where the instance or host at an address is.
func (b *Benchmark) locate(address model.Address) (local.Place, bool) {
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
