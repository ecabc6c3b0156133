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

// Benchmark measures the deployment of one user, with the link latencies of its plan.
type Benchmark struct {
	// Deployment is the deployment under test.
	Deployment *local.Deployment
	// Progress receives a line for each result.
	Progress io.Writer
	// Seed is part of the request ids of this run.
	Seed uint64

	report      *Report
	transport   http.RoundTripper
	payments    map[model.DatabaseID][]payment // all payments, whatever their result
	lastRequest int
}

// Time limits of a benchmark.
const (
	readyLimit = 20 * time.Second
	stopLimit  = time.Second
)

// New returns a benchmark of the plan.
func New(plan local.Plan) *Benchmark {
	b := &Benchmark{
		Deployment: local.New(plan),
		Progress:   io.Discard,
		report:     NewReport(plan.User),
		payments:   map[model.DatabaseID][]payment{},
	}
	b.Deployment.StopLimit = stopLimit
	b.transport = delayTransport{next: outbound.NewTransport(), oneWay: plan.CallerLatency}
	return b
}

// Run starts the deployment, runs all measurements and returns their report.
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
	readyCtx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if err := b.Deployment.AwaitReady(readyCtx); err != nil {
		return nil, err
	}
	for _, step := range []func(context.Context) error{b.measureReads, b.measureHopLatency, b.measurePlatformOutage, b.measureFailovers, b.auditPayments} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return b.report, nil
}

// session returns a session of a client that tries the given host first.
func (b *Benchmark) session(host int) *client.Session {
	return b.client(host).Session()
}

// client returns a client that tries the given host first.
func (b *Benchmark) client(host int) *client.Client {
	var addresses []model.Address
	for offset := range b.Deployment.Hosts {
		next := b.Deployment.Hosts[(host+offset)%len(b.Deployment.Hosts)]
		addresses = append(addresses, next.Settings.CallerAddress)
	}
	c := client.New(addresses...)
	c.Transport = b.Deployment.Transport(b.transport)
	return c
}

// delayTransport adds the latency of a link in each direction.
type delayTransport struct {
	next   http.RoundTripper
	oneWay time.Duration
}

// RoundTrip delays the request, sends it, and delays the response.
func (t delayTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := clock.Pause(r.Context(), t.oneWay); err != nil {
		return nil, err
	}
	response, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := clock.Pause(r.Context(), t.oneWay); err != nil {
		return nil, errors.Join(err, response.Body.Close())
	}
	return response, nil
}

// linkTransport adds the latency between a host and the address that it calls.
type linkTransport struct {
	next      http.RoundTripper
	benchmark *Benchmark
	from      model.Host
}

// RoundTrip sends the request with the latency of the link to its address.
func (t linkTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return delayTransport{next: t.next, oneWay: t.benchmark.linkLatency(t.from, model.Address(r.URL.Host))}.RoundTrip(r)
}

// delayOutbound returns a wrapper that adds link latencies to the calls of a host.
func (b *Benchmark) delayOutbound(host model.Host) func(http.RoundTripper) http.RoundTripper {
	return func(next http.RoundTripper) http.RoundTripper {
		return linkTransport{next: next, benchmark: b, from: host}
	}
}

// linkLatency returns the one-way latency from a host to the instance or host at an address; any other address, such as the
// platform, has none.
func (b *Benchmark) linkLatency(from model.Host, address model.Address) time.Duration {
	location, found := b.locate(address)
	switch {
	case !found || location.DataCentre == from.DataCentre:
		return 0
	case location.Region == from.Region:
		return b.Deployment.Plan.DataCentreLatency
	}
	return b.Deployment.Plan.RegionLatency
}

// locate returns the location of the instance or host at an address.
func (b *Benchmark) locate(address model.Address) (local.Location, bool) {
	for _, instance := range b.Deployment.Instances {
		if instance.Address == address {
			return instance.Location, true
		}
	}
	for _, host := range b.Deployment.Hosts {
		if host.Settings.PeerAddress == address {
			return local.Location{DataCentre: host.Settings.DataCentre, Region: host.Settings.Region}, true
		}
	}
	return local.Location{}, false
}
