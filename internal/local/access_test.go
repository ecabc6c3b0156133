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

	"redwingspread/internal/auth"
	"redwingspread/internal/config"
	"redwingspread/internal/ledger"
	"redwingspread/internal/model"
	"redwingspread/internal/settings"
	"redwingspread/internal/standin/fault"
	"redwingspread/pkg/api/callerapi"
	"redwingspread/pkg/api/operatorapi"
	"redwingspread/pkg/client"
)

// The access tokens of the tests.
const (
	firstToken  = "rws_test_first_operator"
	callerToken = "rws_test_caller"
)

// startTimeout limits the time until a deployment is ready.
const startTimeout = 20 * time.Second

// stopTimeout is the time limit for a host to finish work in progress when it stops.
const stopTimeout = 300 * time.Millisecond

// startSecured starts a deployment whose hosts require access tokens and TLS.
func startSecured(t testing.TB, hosts int) *Deployment {
	t.Helper()
	plan := AuthorityPlan()
	plan.Hosts = hosts
	d := New(plan)
	d.StopLimit = stopTimeout
	d.Configure = func(s *settings.Serve) {
		s.Guard, s.PublicTLS, s.FirstOperator = "tokens", "on", auth.Hash(firstToken)
	}
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	if err := d.Start(ctx); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := d.Stop(); err != nil {
			t.Error(err)
		}
	})
	if err := d.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return d
}

// tlsTransport returns a transport that trusts the deployment's certificate authority.
func (d *Deployment) tlsTransport(t testing.TB) *http.Transport {
	t.Helper()
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM([]byte(d.Hosts[0].keyMaterial.Authorities)) {
		t.Fatal("got no certificate authority, want one")
	}
	return &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authorities}}
}

// callerClient returns a client of a host that sends the token.
func (d *Deployment) callerClient(t *testing.T, index int, token string) *client.Client {
	caller := client.New(d.Hosts[index].Settings.CallerAddress)
	caller.BearerToken = token
	caller.UseTLS = true
	caller.Transport = d.tlsTransport(t)
	return caller
}

// operatorTransport adds the first operator's token to every request.
type operatorTransport struct{ next http.RoundTripper }

func (o operatorTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+firstToken)
	return o.next.RoundTrip(r)
}

// operatorClient returns a client of a host's operator interface that sends the first operator's token.
func (d *Deployment) operatorClient(t testing.TB, index int) *operatorapi.Client {
	t.Helper()
	address := "https://" + string(d.Hosts[index].Settings.OperatorAddress)
	api, err := operatorapi.NewClient(address, operatorapi.WithClient(&http.Client{Transport: operatorTransport{d.tlsTransport(t)}}))
	if err != nil {
		t.Fatal(err)
	}
	return api
}

// putConfiguration submits the document to a host as the configuration after the expected version.
func (d *Deployment) putConfiguration(t testing.TB, index int, expected model.Version, document config.Document) error {
	t.Helper()
	message, err := ledger.DocumentMessage(document)
	if err != nil {
		t.Fatal(err)
	}
	_, err = d.operatorClient(t, index).PutConfiguration(t.Context(), &operatorapi.Change{Expected: uint64(expected), Author: "Dana", Document: message})
	return err
}

// awaitVersion waits until the version is in force on every running host, and returns the time that this took.
func (d *Deployment) awaitVersion(t testing.TB, version model.Version) time.Duration {
	t.Helper()
	start := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
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
	return time.Since(start)
}

// awaitStatus waits until the status of a host lists the version for every host, and the propagation delay of every other host.
func (d *Deployment) awaitStatus(t testing.TB, index int, version uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	api := d.operatorClient(t, index)
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		status, err := api.GetStatus(ctx)
		if err != nil {
			t.Fatal(err)
		}
		updated := 0
		for _, host := range status.Hosts {
			if host.Configuration == version {
				updated++
			}
		}
		if updated == len(d.Hosts) && len(status.Spread) == len(d.Hosts)-1 {
			t.Logf("propagation delays measured by host %d: %+v", index, status.Spread)
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.Fatalf("got %d hosts with version %d and delays %v, want all", updated, version, status.Spread)
		}
	}
}

// documentWithCaller returns the default document with a caller's token.
func documentWithCaller() config.Document {
	document := config.Default()
	document.Tokens = []config.Token{{
		Name: "counter", Role: config.RoleCaller, Hash: auth.Hash(callerToken), Reason: "Counter.", Author: "Dana", Date: "2026-03-02",
	}}
	return document
}

func TestAccess(t *testing.T) {
	d := startSecured(t, 4)
	if err := d.putConfiguration(t, 0, 0, documentWithCaller()); err != nil {
		t.Fatal(err)
	}
	t.Logf("configuration in force on %d hosts after %v", len(d.Hosts), d.awaitVersion(t, 1))
	d.awaitStatus(t, 0, 1)
	tests := map[string]struct {
		token string
		want  model.Code // code of the refusal, or empty for a successful request
	}{
		"no token":      {"", model.CodeUnauthorized},
		"unknown token": {"rws_guess", model.CodeUnauthorized},
		"caller":        {callerToken, ""},
		"operator":      {firstToken, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for index := range d.Hosts {
				_, err := d.callerClient(t, index, test.token).Session().Run(t.Context(), client.Statement{
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
		api, err := callerapi.NewClient(address, callerapi.WithClient(&http.Client{Transport: d.tlsTransport(t)}))
		if err != nil {
			t.Fatal(err)
		}
		if health, err := api.GetHealth(t.Context()); err != nil || !health.Ready {
			t.Errorf("got %v (%v), want a ready host", health, err)
		}
	})
	t.Run("unknown certificate authority", func(t *testing.T) {
		untrusting := client.New(d.Hosts[0].Settings.CallerAddress)
		untrusting.UseTLS = true
		untrusting.Timeout = 200 * time.Millisecond
		untrusting.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: x509.NewCertPool()}}
		_, err := untrusting.Session().Run(t.Context(), client.Statement{Database: "enrolment-1", Kind: "roster", Operation: "roster", Read: true})
		if err == nil {
			t.Error("got no error, want the certificate refused")
		}
	})
}

// refusalOf returns the code of a refusal, or an empty code if there is no error.
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

// TestConfigurationInAnOutage checks that a host that restarts while the platform is down still gets the newest configuration,
// and that changes are refused during the outage.
func TestConfigurationInAnOutage(t *testing.T) {
	d := startSecured(t, 4)
	for version := range model.Version(2) {
		if err := d.putConfiguration(t, int(version), version, documentWithCaller()); err != nil {
			t.Fatal(err)
		}
		t.Logf("version %d in force on %d hosts after %v", version+1, len(d.Hosts), d.awaitVersion(t, version+1))
	}
	d.Platform.Faults.Set(fault.Faults{Outage: true})
	if err := d.putConfiguration(t, 0, 2, documentWithCaller()); err == nil {
		t.Error("got a change accepted during an outage, want it refused")
	}
	if err := d.StopHost(3); err != nil {
		t.Fatal(err)
	}
	if err := d.StartHost(3); err != nil {
		t.Fatal(err)
	}
	t.Logf("host started during an outage has the newest version after %v", d.awaitVersion(t, 2))
	d.Platform.Faults.Set(fault.Faults{})
	if err := d.putConfiguration(t, 3, 2, documentWithCaller()); err != nil {
		t.Fatalf("got %v, want the change accepted after the outage", err)
	}
	t.Logf("version 3 in force on %d hosts after %v", len(d.Hosts), d.awaitVersion(t, 3))
}

// BenchmarkInForce measures the time from an operator's request until the configuration is in force on every host. In the
// cases with an outage, the platform fails once it has accepted the configuration.
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
			d := startSecured(b, test.hosts)
			var durations []time.Duration
			version := model.Version(0)
			for b.Loop() {
				start := time.Now()
				if err := d.putConfiguration(b, int(version)%test.hosts, version, documentWithCaller()); err != nil {
					b.Fatal(err)
				}
				d.Platform.Faults.Set(fault.Faults{Outage: test.outage})
				version++
				d.awaitVersion(b, version)
				durations = append(durations, time.Since(start))
				d.Platform.Faults.Set(fault.Faults{})
			}
			slices.Sort(durations)
			b.ReportMetric(float64(durations[len(durations)/2].Microseconds())/1000, "median-ms")
			b.ReportMetric(float64(durations[len(durations)-1].Microseconds())/1000, "worst-ms")
		})
	}
}
