package operator

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	logjson "github.com/apex/log/handlers/json"

	"redwingspread/internal/auth"
	"redwingspread/internal/config"
	"redwingspread/internal/ledger"
	"redwingspread/internal/ledger/ledgertest"
	"redwingspread/internal/model"
	"redwingspread/internal/view"
	"redwingspread/pkg/api/operatorapi"
)

// The tokens that the tests use.
const (
	operatorToken = "rws_operator_of_the_tests"
	readerToken   = "rws_reader_of_the_tests"
)

// fixture is a server with a fake store.
type fixture struct {
	store  *ledgertest.Store
	view   atomic.Pointer[view.View]
	server *Server
	http   *httptest.Server
	log    bytes.Buffer
}

// newFixture returns a server on which the built-in configuration is in force.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{store: ledgertest.New(), server: New()}
	policy, err := config.Compile(0, config.Default())
	if err != nil {
		t.Fatal(err)
	}
	f.view.Store(fleetView(policy))
	f.server.View = f.view.Load
	f.server.Self = model.Host{ID: "h0", Region: "hill-country"}
	f.server.Log = &log.Logger{Handler: logjson.New(&f.log), Level: log.DebugLevel}
	f.server.FirstOperator = config.Token{Name: "first", Role: config.RoleOperator, Hash: auth.Hash(operatorToken)}
	f.server.Apply = func(_ model.Version, _ string, policy *config.Policy) { f.view.Store(fleetView(policy)) }
	f.server.Ledger = &ledger.Ledger{
		Store:   f.store,
		Nonce:   func() model.Nonce { return model.Nonce(auth.NewToken()) },
		Now:     time.Now,
		InForce: func() model.Version { return f.view.Load().Policy.Version },
	}
	handler, err := f.server.Handler()
	if err != nil {
		t.Fatal(err)
	}
	f.http = httptest.NewServer(handler)
	t.Cleanup(f.http.Close)
	return f
}

// fleetView returns a view of two hosts and one database.
func fleetView(policy *config.Policy) *view.View {
	primary := view.Instance{Instance: model.Instance{ID: "enrol-1-a"}, Reachable: true, ObservedAt: time.Now()}
	primary.State.Role = model.RolePrimary
	return &view.View{
		Self:   "h1",
		Policy: policy,
		Hosts: map[model.HostID]view.Host{
			"h1": {Host: model.Host{ID: "h1", Region: "coastal"}, Liveness: view.Alive, Configuration: policy.Version},
			"h2": {Host: model.Host{ID: "h2", Region: "<brazos>"}, Liveness: view.Suspect},
		},
		Databases: map[model.DatabaseID]*view.Database{
			"enrol-1": {ID: "enrol-1", Owner: "h1", Term: 7, Primary: "enrol-1-a", Serving: true,
				Instances: []view.Instance{primary, {Instance: model.Instance{ID: "enrol-1-b"}}}},
		},
	}
}

// httpResponse is the status and the body of an HTTP response.
type httpResponse struct {
	status int
	body   string
}

// send makes one request; an empty token is not sent.
func (f *fixture) send(t *testing.T, method, path, token, body string) httpResponse {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, f.http.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := f.http.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return httpResponse{status: response.StatusCode, body: string(text)}
}

// changeBody returns the request body of a change.
func changeBody(t *testing.T, expected model.Version, document config.Document) string {
	t.Helper()
	message, err := ledger.DocumentMessage(document)
	if err != nil {
		t.Fatal(err)
	}
	change := operatorapi.Change{Expected: uint64(expected), Author: "Dana", Document: message}
	text, err := change.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// documentWithQueueLimit returns the built-in document with the queue limit changed.
func documentWithQueueLimit(limit int) config.Document {
	document := config.Default()
	document.Defaults.QueueLimit = limit
	return document
}

func TestPutConfiguration(t *testing.T) {
	tests := map[string]struct {
		prepare func(t *testing.T, f *fixture)
		body    func(t *testing.T) string
		status  int
		want    []string // substrings of the response body
		version model.Version
	}{
		"accepted": {status: http.StatusOK, want: []string{`"version":1`, `"author":"Dana"`}, version: 1},
		"response of the platform lost": {
			prepare: func(_ *testing.T, f *fixture) { f.store.Fail(ledgertest.AnswersLost, 1) },
			status:  http.StatusOK, want: []string{`"version":1`}, version: 1,
		},
		"version conflict": {
			prepare: func(t *testing.T, f *fixture) {
				f.send(t, http.MethodPut, "/v1/configuration", operatorToken, changeBody(t, 0, documentWithQueueLimit(33)))
			},
			status: http.StatusConflict, want: []string{"version 1 by Dana", `"queueLimit":33`, `"current"`}, version: 1,
		},
		"platform unavailable": {
			prepare: func(_ *testing.T, f *fixture) { f.store.Fail(ledgertest.Down, 1) },
			status:  http.StatusServiceUnavailable, want: []string{"nothing was changed"},
		},
		"several problems": {
			body: func(t *testing.T) string {
				document := documentWithQueueLimit(0)
				document.Exceptions = []config.Exception{{Name: "x", Database: "enrol-1", Setting: "rank", Value: "9"}}
				return changeBody(t, 0, document)
			},
			status: http.StatusBadRequest,
			want:   []string{"defaults.queueLimit", "exceptions[0].value", "exceptions[0].reason", "exceptions[0].author", "exceptions[0].date"},
		},
		"host in a scope": {
			body: func(t *testing.T) string {
				return strings.Replace(changeBody(t, 0, documentWithQueueLimit(1)), `"exceptions":[]`, `"exceptions":[{"host":"h1"}]`, 1)
			},
			status: http.StatusBadRequest, want: []string{"invalid", "host"},
		},
		"not JSON":  {body: func(*testing.T) string { return "queueLimit: 3" }, status: http.StatusBadRequest, want: []string{"invalid"}},
		"too large": {body: func(*testing.T) string { return strings.Repeat(" ", maxBodyBytes+1) }, status: http.StatusRequestEntityTooLarge, want: []string{"too_large"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			if test.prepare != nil {
				test.prepare(t, f)
			}
			body := changeBody(t, 0, documentWithQueueLimit(44))
			if test.body != nil {
				body = test.body(t)
			}
			got := f.send(t, http.MethodPut, "/v1/configuration", operatorToken, body)
			if got.status != test.status {
				t.Fatalf("got status %d (%s), want %d", got.status, got.body, test.status)
			}
			for _, part := range test.want {
				if !strings.Contains(got.body, part) {
					t.Errorf("got %s, want %s in it", got.body, part)
				}
			}
			if got := f.view.Load().Policy.Version; got != test.version {
				t.Errorf("got version %d in force, want %d", got, test.version)
			}
		})
	}
}

func TestRoles(t *testing.T) {
	tests := map[string]struct {
		method, path, token string
		want                int
	}{
		"status without a token":        {http.MethodGet, "/v1/status", "", http.StatusUnauthorized},
		"status of a reader":            {http.MethodGet, "/v1/status", readerToken, http.StatusOK},
		"page without a token":          {http.MethodGet, "/", "", http.StatusUnauthorized},
		"page of a reader":              {http.MethodGet, "/", readerToken, http.StatusOK},
		"metrics without a token":       {http.MethodGet, "/debug/vars", "", http.StatusUnauthorized},
		"metrics of a reader":           {http.MethodGet, "/debug/vars", readerToken, http.StatusOK},
		"configuration without a token": {http.MethodGet, "/v1/configuration", "", http.StatusUnauthorized},
		"history of a reader":           {http.MethodGet, "/v1/configurations", readerToken, http.StatusOK},
		"version of a reader":           {http.MethodGet, "/v1/configurations/1", readerToken, http.StatusOK},
		"version that does not exist":   {http.MethodGet, "/v1/configurations/9", readerToken, http.StatusNotFound},
		"change by a reader":            {http.MethodPut, "/v1/configuration", readerToken, http.StatusForbidden},
		"change without a token":        {http.MethodPut, "/v1/configuration", "", http.StatusUnauthorized},
		"unknown path":                  {http.MethodGet, "/v2/status", readerToken, http.StatusNotFound},
	}
	f := newFixture(t)
	document := config.Default()
	document.Tokens = []config.Token{{
		Name: "screen", Role: config.RoleReader, Hash: auth.Hash(readerToken), Reason: "Screen in the office.", Author: "Dana", Date: "2026-03-02",
	}}
	if got := f.send(t, http.MethodPut, "/v1/configuration", operatorToken, changeBody(t, 0, document)); got.status != http.StatusOK {
		t.Fatalf("got %+v, want the token accepted", got)
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := f.send(t, test.method, test.path, test.token, "{}")
			if got.status != test.want {
				t.Errorf("got status %d (%s), want %d", got.status, got.body, test.want)
			}
		})
	}
	for _, secret := range []string{readerToken, operatorToken} {
		if strings.Contains(f.log.String(), secret) {
			t.Errorf("got %s in the log, want it hidden", secret)
		}
	}
}

func TestMetrics(t *testing.T) {
	f := newFixture(t)
	f.server.Queues = func() []Queue { return []Queue{{Instance: "enrol-1-a", Rank: 2, Waiting: 91}} }
	f.server.Refusals = func() []RefusalCount {
		return []RefusalCount{{Instance: "enrol-1-a", Code: model.CodeOverloaded, Count: 1234}}
	}
	f.server.Replaced = func() int64 { return 7 }
	got := f.send(t, http.MethodGet, "/debug/vars", operatorToken, "")
	var variables map[string]json.RawMessage
	if err := json.Unmarshal([]byte(got.body), &variables); err != nil {
		t.Fatalf("got %v in %s, want JSON", err, got.body)
	}
	if _, present := variables["cmdline"]; present || variables["configuration"] == nil {
		t.Errorf("got %v, want the metrics without the command line", variables)
	}
	want := map[string]int64{"version": 0, "ready": 1, "waiting.enrol-1-a.rank2": 91, "refused.enrol-1-a.overloaded": 1234, "connections_replaced": 7}
	var own map[string]int64
	if err := json.Unmarshal(variables["host"], &own); err != nil || !maps.Equal(own, want) {
		t.Errorf("got %v (%v), want %v", own, err, want)
	}
}

func TestPage(t *testing.T) {
	f := newFixture(t)
	f.server.Queues = func() []Queue { return []Queue{{Database: "enrol-1", Instance: "enrol-1-a", Rank: 2, Waiting: 91}} }
	f.server.Refusals = func() []RefusalCount {
		return []RefusalCount{{Instance: "enrol-1-a", Code: model.CodeOverloaded, Count: 1234}}
	}
	got := f.send(t, http.MethodGet, "/", operatorToken, "")
	for _, part := range []string{"enrol-1-b", "suspect", "hill-country", "&lt;brazos&gt;", "<td>91</td>", "<td>1234</td>", "overloaded"} {
		if !strings.Contains(got.body, part) {
			t.Errorf("got a page without %s", part)
		}
	}
}

func TestStatusWithoutConfiguration(t *testing.T) {
	f := newFixture(t)
	f.view.Store(&view.View{Self: "h1"})
	if got := f.send(t, http.MethodGet, "/v1/status", operatorToken, ""); !strings.Contains(got.body, `"ready":false`) {
		t.Errorf("got %s, want a host that is not ready", got.body)
	}
	if got := f.send(t, http.MethodGet, "/v1/configuration", operatorToken, ""); got.status != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want %d", got.status, http.StatusServiceUnavailable)
	}
}

func TestTracker(t *testing.T) {
	at := time.Unix(100, 0)
	tracker := newRolloutTracker()
	tracker.start(5, at)
	policy := &config.Policy{Version: 5}
	fleet := fleetView(policy)
	if finished := tracker.observe(fleet, at.Add(time.Second)); !finished {
		t.Error("got an unfinished measurement, want it finished: the only live host has the version")
	}
	host := fleet.Hosts["h2"]
	host.Liveness = view.Alive
	fleet.Hosts["h2"] = host
	if finished := tracker.observe(fleet, at.Add(2*time.Second)); finished {
		t.Error("got a finished measurement, want it to wait for h2")
	}
	host.Configuration = 6
	fleet.Hosts["h2"] = host
	tracker.observe(fleet, at.Add(3*time.Second))
	want := []rolloutDelay{{"h1", 5, time.Second}, {"h2", 5, 3 * time.Second}}
	if got := tracker.results(); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
