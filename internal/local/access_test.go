package local

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/ledger"
	"redwingspread/internal/model"
	"redwingspread/internal/settings"
	"redwingspread/internal/standin/fault"
	"redwingspread/internal/trust"
	"redwingspread/pkg/api/callerapi"
	"redwingspread/pkg/api/operatorapi"
	"redwingspread/pkg/client"
)

// The tokens of the tests.
const (
	firstToken  = "rws_first_operator_of_the_tests"
	callerToken = "rws_caller_of_the_tests"
)

// startLimit is the time that a deployment has to be ready.
const startLimit = 20 * time.Second

// stopLimit is the time that a host has to stop.
const stopLimit = 300 * time.Millisecond

// guarded starts a deployment whose hosts ask for tokens and speak TLS.
func guarded(t testing.TB, hosts int) *Deployment {
	t.Helper()
	plan := Authority()
	plan.Hosts = hosts
	d := New(plan)
	d.StopLimit = stopLimit
	d.Configure = func(s *settings.Serve) {
		s.Guard, s.PublicTLS, s.FirstOperator = "tokens", "on", trust.Hash(firstToken)
	}
	ctx, cancel := context.WithTimeout(t.Context(), startLimit)
	defer cancel()
	if err := d.Start(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
	})
	if err := d.Ready(ctx); err != nil {
		t.Fatal(err)
	}
	return d
}

// transport returns a transport that accepts the deployment's authority.
func (d *Deployment) transport(t testing.TB) *http.Transport {
	t.Helper()
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM([]byte(d.Hosts[0].material.Authorities)) {
		t.Fatal("got no authority, want one")
	}
	return &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authorities}}
}

// caller returns a client of one host with a token.
func (d *Deployment) caller(t *testing.T, index int, token string) *client.Client {
	made := client.New(d.Hosts[index].Settings.CallerAddress)
	made.BearerToken = token
	made.UseTLS = true
	made.Transport = d.transport(t)
	return made
}

// shown is a transport that shows the first operator's token.
type shown struct{ next http.RoundTripper }

func (s shown) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+firstToken)
	return s.next.RoundTrip(r)
}

// operator returns the operator interface of a host with the first operator's token.
func (d *Deployment) operator(t testing.TB, index int) *operatorapi.Client {
	t.Helper()
	address := "https://" + string(d.Hosts[index].Settings.OperatorAddress)
	api, err := operatorapi.NewClient(address, operatorapi.WithClient(&http.Client{Transport: shown{d.transport(t)}}))
	if err != nil {
		t.Fatal(err)
	}
	return api
}

// accept makes the document the next configuration through a host.
func (d *Deployment) accept(t testing.TB, index int, expected model.Version, document config.Document) error {
	t.Helper()
	message, err := ledger.DocumentMessage(document)
	if err != nil {
		t.Fatal(err)
	}
	_, err = d.operator(t, index).PutConfiguration(t.Context(), &operatorapi.Change{Expected: uint64(expected), Author: "Dana", Document: message})
	return err
}

// everywhere waits until every running host has the version and returns the time it took.
func (d *Deployment) everywhere(t testing.TB, version model.Version) time.Duration {
	t.Helper()
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), startLimit)
	defer cancel()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for _, host := range d.Hosts {
		for host.stop != nil && (host.daemon.View() == nil || !host.daemon.View().Policy.Ready() || host.daemon.View().Policy.Version < version) {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				t.Fatalf("got %v, want version %d on host %s", ctx.Err(), version, host.Settings.Host)
			}
		}
	}
	return time.Since(began)
}

// shownEverywhere waits until a host's status shows the version and its delay for every host.
func (d *Deployment) shownEverywhere(t testing.TB, index int, version uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startLimit)
	defer cancel()
	api := d.operator(t, index)
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for {
		status, err := api.GetStatus(ctx)
		if err != nil {
			t.Fatal(err)
		}
		shown := 0
		for _, host := range status.Hosts {
			if host.Configuration == version {
				shown++
			}
		}
		if shown == len(d.Hosts) && len(status.Spread) == len(d.Hosts)-1 {
			t.Logf("measured by host %d: %+v", index, status.Spread)
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatalf("got %d hosts with version %d and delays %v, want all", shown, version, status.Spread)
		}
	}
}

// withCaller returns the built-in document with a token of a caller.
func withCaller() config.Document {
	document := config.Default()
	document.Tokens = []config.Token{{
		Name: "counter", Right: config.RightCaller, Hash: trust.Hash(callerToken), Reason: "Counter.", Author: "Dana", Date: "2026-03-02",
	}}
	return document
}

func TestAccess(t *testing.T) {
	d := guarded(t, 4)
	if err := d.accept(t, 0, 0, withCaller()); err != nil {
		t.Fatal(err)
	}
	t.Logf("in force on %d hosts after %v", len(d.Hosts), d.everywhere(t, 1))
	d.shownEverywhere(t, 0, 1)
	tests := map[string]struct {
		token string
		want  model.Code // of the refusal; empty when the work runs
	}{
		"no token":      {"", model.CodeUnauthorized},
		"unknown token": {"rws_guess", model.CodeUnauthorized},
		"caller":        {callerToken, ""},
		"operator":      {firstToken, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for index := range d.Hosts {
				_, err := d.caller(t, index, test.token).Session().Run(t.Context(), client.Statement{
					Database: "enrolment-1", Kind: "roster", Operation: "roster", Read: true,
					Arguments: map[string]string{"section": "welding-1"},
				})
				if got := refusalOf(err); got != test.want {
					t.Errorf("host %d: got %q (%v), want %q", index, got, err, test.want)
				}
			}
		})
	}
	t.Run("health needs no token", func(t *testing.T) {
		address := "https://" + string(d.Hosts[0].Settings.CallerAddress)
		api, err := callerapi.NewClient(address, callerapi.WithClient(&http.Client{Transport: d.transport(t)}))
		if err != nil {
			t.Fatal(err)
		}
		if health, err := api.GetHealth(t.Context()); err != nil || !health.Ready {
			t.Errorf("got %v (%v), want a host that is ready", health, err)
		}
	})
	t.Run("unknown authority", func(t *testing.T) {
		stranger := client.New(d.Hosts[0].Settings.CallerAddress)
		stranger.UseTLS = true
		stranger.Timeout = 200 * time.Millisecond
		stranger.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: x509.NewCertPool()}}
		_, err := stranger.Session().Run(t.Context(), client.Statement{Database: "enrolment-1", Kind: "roster", Operation: "roster", Read: true})
		if err == nil {
			t.Error("got an answer, want a refused certificate")
		}
	})
}

// refusalOf returns the code of a refusal, or nothing for no error.
func refusalOf(err error) model.Code {
	var refusal *client.Error
	switch {
	case err == nil:
		return ""
	case errors.As(err, &refusal):
		return refusal.Code
	default:
		return model.Code(fmt.Sprintf("other: %v", err))
	}
}

func TestConfigurationInAnOutage(t *testing.T) {
	d := guarded(t, 4)
	for version := range model.Version(2) {
		if err := d.accept(t, int(version), version, withCaller()); err != nil {
			t.Fatal(err)
		}
		t.Logf("version %d in force on %d hosts after %v", version+1, len(d.Hosts), d.everywhere(t, version+1))
	}
	d.Platform.Faults.Set(fault.Faults{Outage: true})
	if err := d.accept(t, 0, 2, withCaller()); err == nil {
		t.Error("got a change accepted in an outage, want it refused")
	}
	if err := d.StopHost(3); err != nil {
		t.Fatal(err)
	}
	if err := d.StartHost(3); err != nil {
		t.Fatal(err)
	}
	t.Logf("host that starts in an outage has the newest version after %v", d.everywhere(t, 2))
	d.Platform.Faults.Set(fault.Faults{})
	if err := d.accept(t, 3, 2, withCaller()); err != nil {
		t.Fatalf("got %v, want the change accepted after the outage", err)
	}
	t.Logf("version 3 in force on %d hosts after %v", len(d.Hosts), d.everywhere(t, 3))
}

// BenchmarkInForce measures the time from an operator's request until the configuration is in force on every host; in an outage, the platform fails from the acceptance on.
func BenchmarkInForce(b *testing.B) {
	cases := map[string]struct {
		hosts  int
		outage bool
	}{
		"4 hosts":          {4, false},
		"16 hosts":         {16, false},
		"4 hosts, outage":  {4, true},
		"16 hosts, outage": {16, true},
	}
	for name, test := range cases {
		b.Run(name, func(b *testing.B) {
			d := guarded(b, test.hosts)
			var taken []time.Duration
			version := model.Version(0)
			for b.Loop() {
				began := time.Now()
				if err := d.accept(b, int(version)%test.hosts, version, withCaller()); err != nil {
					b.Fatal(err)
				}
				d.Platform.Faults.Set(fault.Faults{Outage: test.outage})
				version++
				d.everywhere(b, version)
				taken = append(taken, time.Since(began))
				d.Platform.Faults.Set(fault.Faults{})
			}
			slices.Sort(taken)
			b.ReportMetric(float64(taken[len(taken)/2].Microseconds())/1000, "median-ms")
			b.ReportMetric(float64(taken[len(taken)-1].Microseconds())/1000, "worst-ms")
		})
	}
}
