package front_test

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"redwingspread/platform/standin"
)

// The tenants of the tests; each key contains keyMark.
const keyMark = "s3cr3t"

var (
	acme  = standin.Tenant{Name: "acme", APIKeys: []string{keyMark + "-a1", keyMark + "-a2"}, RatePerS: 100000, Burst: 100000}
	bolt  = standin.Tenant{Name: "bolt", APIKeys: []string{keyMark + "-b1"}, RatePerS: 100000, Burst: 100000}
	acme1 = standin.Tenant{Name: "acme", APIKeys: []string{keyMark + "-a1"}, RatePerS: 100000, Burst: 100000}
	acme2 = standin.Tenant{Name: "acme", APIKeys: []string{keyMark + "-a2"}, RatePerS: 100000, Burst: 100000}
)

// keyedRoutes are the kinds of work of the tests with tenants; "view" is public.
func keyedRoutes() []standin.Route {
	keyed := standin.SampleRoutes("seats")
	keyed[1].Public = true
	return keyed
}

// configureTenants writes a configuration with tenants and waits until the hosts have it in force.
func (f *fleet) configureTenants(version int, hosts []*testHost, tenants ...standin.Tenant) {
	f.t.Helper()
	f.cloud.ConfigureTenants(version, tenants, keyedRoutes()...)
	for _, host := range hosts {
		f.eventually("the configuration is in force", func() bool {
			return strings.Contains(f.metricsOf(host), fmt.Sprintf("configuration_version %d\n", version))
		})
	}
}

// metricsOf returns a host's metrics.
func (f *fleet) metricsOf(host *testHost) string {
	f.t.Helper()
	response, err := http.Get("http://" + host.metrics)
	if err != nil {
		f.t.Fatal(err)
	}
	text, err := io.ReadAll(response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		f.t.Fatal(err)
	}
	return string(text)
}

// isReady reports whether a host answers its readiness check with 200.
func (f *fleet) isReady(host *testHost) bool {
	f.t.Helper()
	response, err := http.Get("http://" + host.ready)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil {
		f.t.Fatal(err)
	}
	return response.StatusCode == http.StatusOK
}

// openKeyed opens a session of a tenant with a key until the test ends; the name tells its statements apart.
func (f *fleet) openKeyed(host *testHost, kind, name, key, tenant string) *standin.Session {
	f.t.Helper()
	f.database.SetTenant(name, tenant)
	s, err := standin.DialKey(host.address, kind, name, key, waitLimit)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(s.Close)
	return s
}

// startCode returns the code with which a session is refused; empty if it is not.
func startCode(host *testHost, kind, key string) string {
	s, err := standin.DialKey(host.address, kind, "starter", key, waitLimit)
	var refused standin.RefusedError
	if errors.As(err, &refused) {
		return refused.Code
	}
	if err != nil {
		return err.Error()
	}
	s.Close()
	return ""
}

// expect sends requests on a session, each of which must get the code; empty for success.
func (f *fleet) expect(s *standin.Session, code string, texts ...string) {
	f.t.Helper()
	for _, text := range texts {
		if got, err := s.Query(text); err != nil || got.Code != code {
			f.t.Errorf("%s: got %+v, %v, want the code %q", text, got, err, code)
		}
	}
}

// checkViolations fails the test if a statement ran under a wrong name or with another session's values.
func (f *fleet) checkViolations() {
	f.t.Helper()
	if got := f.database.Violations(); len(got) > 0 {
		f.t.Errorf("got violations %v, want none", got)
	}
}

// TestTenantStart guards against sessions without a key in force, with another tenant's name, and refusals of those that have one.
func TestTenantStart(t *testing.T) {
	f := newFleet(t, 1)
	shared := standin.Tenant{Name: "coil", APIKeys: []string{keyMark + "-b1", keyMark + "-c1"}}
	f.configureTenants(5, f.hosts, acme, bolt, shared, standin.Tenant{Name: "dune", APIKeys: []string{keyMark + "-d1"}, RatePerS: -1})
	tests := map[string]struct {
		kind, key, code string
		tenant          string // under which its statements run
	}{
		"key of a tenant":               {kind: "desk", key: keyMark + "-a1", tenant: "acme"},
		"second key":                    {kind: "batch", key: keyMark + "-a2", tenant: "acme"},
		"key of another tenant":         {kind: "desk", key: keyMark + "-c1", tenant: "coil"},
		"unknown key":                   {kind: "desk", key: keyMark + "-x", code: "NOAUTH"},
		"key of two tenants":            {kind: "desk", key: keyMark + "-b1", code: "NOAUTH"},
		"key of an unusable tenant":     {kind: "desk", key: keyMark + "-d1", code: "NOAUTH"},
		"unknown route":                 {kind: "nothing", key: keyMark + "-a1", code: "NODB"},
		"unknown route, unknown key":    {kind: "nothing", key: keyMark + "-x", code: "NODB"},
		"public route, unknown key":     {kind: "view", key: keyMark + "-x", tenant: "redwingspread"},
		"public route, key of a tenant": {kind: "view", key: keyMark + "-a1", tenant: "acme"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := startCode(f.hosts[0], test.kind, test.key); got != test.code {
				t.Fatalf("got the code %q, want %q", got, test.code)
			}
			if test.code != "" {
				return
			}
			session := strings.ReplaceAll(name, " ", "-")
			s := f.openKeyed(f.hosts[0], test.kind, session, test.key, test.tenant)
			f.run(s, "SET session "+session, "PREPARE p READ q", "EXEC p "+session+":x", "BEGIN READ", "READ "+session+":y", "COMMIT")
		})
	}
	f.checkViolations()
}

// TestTenantChanges guards against operations that run after their key was withdrawn, transactions that are cut off by it, and hosts
// that don't learn of changes since the store doesn't serve them.
func TestTenantChanges(t *testing.T) {
	f := newFleet(t, 1)
	proxy := &cuttableProxy{target: f.cloud.StoreAddress}
	f.startHost(proxy.start(t))
	f.eventually("the second host answers", func() bool { return f.canRead(f.hosts[1], "desk") })
	f.configureTenants(5, f.hosts, acme1, bolt)
	if got := startCode(f.hosts[0], "desk", acme2.APIKeys[0]); got != "NOAUTH" {
		t.Errorf("got %q for a key that is not in force yet, want NOAUTH", got)
	}
	f.configureTenants(7, f.hosts, acme, bolt)
	proxy.cut()
	var open, idle, other []*standin.Session
	for i, host := range f.hosts {
		open = append(open, f.openKeyed(host, "desk", fmt.Sprintf("open%d", i), acme.APIKeys[0], "acme"))
		idle = append(idle, f.openKeyed(host, "desk", fmt.Sprintf("idle%d", i), acme.APIKeys[0], "acme"))
		other = append(other, f.openKeyed(host, "desk", fmt.Sprintf("other%d", i), acme.APIKeys[1], "acme"))
		f.run(open[i], "BEGIN", fmt.Sprintf("WRITE open%d 1", i))
		f.run(idle[i], "READ a")
	}
	f.configureTenants(9, f.hosts, acme2, bolt)
	for i := range f.hosts {
		f.expect(idle[i], "NOAUTH", "READ a", "BEGIN", "WRITE a 1", "BEGIN READ")
		f.expect(open[i], "", fmt.Sprintf("READ open%d", i), "COMMIT")
		f.expect(open[i], "NOAUTH", "READ a", "BEGIN")
		f.expect(other[i], "", "READ a", "BEGIN", "READ a", "COMMIT")
		if got := startCode(f.hosts[i], "desk", acme.APIKeys[0]); got != "NOAUTH" {
			t.Errorf("got %q for a withdrawn key, want NOAUTH", got)
		}
	}
	f.configureTenants(11, f.hosts, acme, bolt)
	for _, s := range idle {
		f.expect(s, "", "READ a", "BEGIN", "READ a", "COMMIT")
	}
	f.checkViolations()
}

// TestTenantsShareConnection guards against tenants that block each other for good, or use each other's session values and prepared
// statements, where a host has one connection to each instance.
func TestTenantsShareConnection(t *testing.T) {
	f := newFleet(t, 1)
	f.cloud.SetMaxConns(1)
	f.configureTenants(5, f.hosts, acme, bolt)
	a := f.openKeyed(f.hosts[0], "desk", "a", acme.APIKeys[0], "acme")
	b := f.openKeyed(f.hosts[0], "desk", "b", bolt.APIKeys[0], "bolt")
	f.run(a, "SET session a", "PREPARE p WRITE q")
	f.run(b, "SET session b", "PREPARE p READ q")
	for i := range 10 {
		f.run(a, fmt.Sprintf("EXEC p item a:%d", i), "BEGIN", "READ a:x", "COMMIT")
		f.run(b, "EXEC p b:item", "BEGIN", "READ b:x", "COMMIT")
	}
	f.checkViolations()
}

// TestTenantStrict guards against keys that work on a host which can't hear of their withdrawal, where the setting forbids that.
func TestTenantStrict(t *testing.T) {
	tests := map[string]struct {
		strict, code string
		keyedOnly    bool // no kind of work is public
		unready      bool // the host isn't ready while it has no word
	}{
		"strict":                 {strict: "on", code: "BUSY"},
		"strict, no public kind": {strict: "on", code: "BUSY", keyedOnly: true, unready: true},
		"not strict":             {strict: "off", keyedOnly: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 0)
			f.strict, f.revokeLimit = test.strict, 6*time.Second
			proxy := &cuttableProxy{target: f.cloud.StoreAddress}
			host := f.startHost(proxy.start(t))
			f.eventually("the host answers", func() bool { return f.canRead(host, "desk") })
			f.configureTenants(5, f.hosts, acme)
			if test.keyedOnly {
				f.cloud.ConfigureTenants(7, []standin.Tenant{acme}, standin.SampleRoutes("seats")...)
				f.eventually("the configuration is in force", func() bool {
					return strings.Contains(f.metricsOf(host), "configuration_version 7\n")
				})
			}
			s := f.openKeyed(host, "batch", "s", acme.APIKeys[0], "acme")
			f.run(s, "READ a")
			time.Sleep(f.revokeLimit) // the store answers polls without a change meanwhile
			f.run(s, "READ a")
			if !f.isReady(host) {
				t.Error("got a host that is not ready while the store answers, want it ready")
			}
			proxy.cut()
			time.Sleep(f.revokeLimit)
			f.expect(s, test.code, "READ a", "BEGIN READ")
			if got := startCode(host, "batch", acme.APIKeys[0]); got != test.code {
				t.Errorf("got %q at the start, want %q", got, test.code)
			}
			if got := startCode(host, "view", acme.APIKeys[0]); !test.keyedOnly && got != "" {
				t.Errorf("got %q for a public route, want none", got)
			}
			if got := f.isReady(host); got == test.unready {
				t.Errorf("got ready %v without word of the configuration, want %v", got, !test.unready)
			}
			proxy.restore(t)
			f.eventually("the host is ready and serves again", func() bool {
				return f.isReady(host) && startCode(host, "batch", acme.APIKeys[0]) == ""
			})
		})
	}
}

// TestKeysStayInside searches what hosts write for the API keys in use.
func TestKeysStayInside(t *testing.T) {
	f := newFleet(t, 2)
	var received record
	f.database.SetOnLine(func(line string) { _, _ = received.Write([]byte(line)) })
	long := keyMark + strings.Repeat("x", 5000)
	f.configureTenants(5, f.hosts, acme, bolt, standin.Tenant{Name: "odd", APIKeys: []string{long, keyMark + " 1"}}, standin.Tenant{Name: "coil", APIKeys: bolt.APIKeys})
	for i, host := range f.hosts {
		s := f.openKeyed(host, "desk", fmt.Sprintf("s%d", i), acme.APIKeys[0], "acme")
		f.run(s, "READ a", "BEGIN", "WRITE a 1", "COMMIT")
		for _, key := range []string{bolt.APIKeys[0], keyMark + "-unknown", long} {
			if got := startCode(host, "desk", key); got != "NOAUTH" {
				t.Errorf("got %q, want NOAUTH", got)
			}
		}
	}
	f.configureTenants(7, f.hosts, bolt)
	var rows strings.Builder
	for _, row := range f.cloud.Store.Rows() {
		value, err := base64.StdEncoding.DecodeString(row.Value)
		if err != nil {
			t.Fatal(err)
		}
		if row.Table != "op" { // which the operators write
			fmt.Fprintf(&rows, "%s/%s %s\n", row.Table, row.Key, value)
		}
	}
	written := map[string]string{
		"log": f.logged.String(), "store": rows.String(), "instances": received.String(), "metrics": f.metricsOf(f.hosts[0]) + f.metricsOf(f.hosts[1]),
	}
	for name, text := range written {
		if text == "" {
			t.Errorf("%s: got no text, want some", name)
		}
		if at := strings.Index(text, keyMark); at >= 0 {
			t.Errorf("%s: got a key in %q, want none", name, text[max(0, at-100):min(len(text), at+30)])
		}
	}
	if !strings.Contains(received.String(), "START seats acme ") {
		t.Error("got no connection in the name of the tenant, want one")
	}
}

// TestTenantWaitsForPrimary guards against writes that are refused at once while the primary can't be reached for a moment.
func TestTenantWaitsForPrimary(t *testing.T) {
	f := newFleet(t, 1)
	f.configureTenants(5, f.hosts, acme)
	s := f.openKeyed(f.hosts[0], "desk", "s", acme.APIKeys[0], "acme")
	f.run(s, "WRITE a 1")
	for _, requests := range [][]string{{"WRITE a 2"}, {"BEGIN", "WRITE a 3", "COMMIT"}} {
		f.crash("seats-0")
		timer := time.AfterFunc(120*time.Millisecond, func() { f.revive("seats-0") })
		f.expect(s, "", requests...)
		timer.Stop()
		f.revive("seats-0")
	}
	f.checkViolations()
}
