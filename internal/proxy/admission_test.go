package proxy

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
	"redwingspread/internal/owner"
	"redwingspread/internal/session"
	"redwingspread/internal/view"
)

// immediateOwner is an owner that answers every statement at once.
type immediateOwner struct{ owner.Service }

func (immediateOwner) Execute(_ context.Context, work model.Work) (model.Result, error) {
	return model.Result{Request: work.Request, Succeeded: true, Role: model.RolePrimary, Durability: model.DurabilityNone}, nil
}

// newTestProxy returns a proxy of one database with the given limit of requests in progress.
func newTestProxy(tb testing.TB, limit int) *Proxy {
	tb.Helper()
	policy, err := config.Compile(1, config.Default())
	if err != nil {
		tb.Fatal(err)
	}
	fleet := &view.View{
		Self:      "host",
		Databases: map[model.DatabaseID]*view.Database{"loans": {ID: "loans", Owner: "host", Serving: true}},
		Policy:    policy,
	}
	p := New()
	p.Host = model.Host{ID: "host"}
	p.View = func() *view.View { return fleet }
	p.Changed = func() <-chan struct{} { return nil }
	p.Local = immediateOwner{}
	p.Codec = &session.Codec{Key: []byte("a key of enough bytes")}
	p.NewSession = func() model.SessionID { return "session" }
	p.Limiter.Limit = limit
	return p
}

func TestAdmissionByRank(t *testing.T) {
	tests := map[string]struct {
		busy        [model.RankCount]int // requests in progress, by rank; the limit is 100
		kind        model.KindID
		transaction model.TransactionID
		want        model.Code // empty when the request runs
	}{
		"idle":                              {kind: "report"},
		"rank three, rank three overloaded": {busy: [model.RankCount]int{0, 0, 50}, kind: "report", want: model.CodeOverloaded},
		"rank one, rank three overloaded":   {busy: [model.RankCount]int{0, 0, 50}, kind: "checkout"},
		"rank three, rank one overloaded":   {busy: [model.RankCount]int{100, 0, 0}, kind: "report"},
		"rank one, rank one overloaded":     {busy: [model.RankCount]int{100, 0, 0}, kind: "checkout", want: model.CodeOverloaded},
		"statement of an open transaction": {
			busy: [model.RankCount]int{100, 0, 0}, kind: "checkout", transaction: "loans/host/begun",
		},
		"unknown kind": {kind: "unheard-of", want: model.CodeUnknownKind},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTestProxy(t, 100)
			for i, busy := range test.busy {
				for range busy {
					p.Limiter.Acquire(model.Rank(i+1), [model.RankCount]model.Percent{})
				}
			}
			request := Request{ID: "id", Database: "loans", Kind: test.kind, Operation: "any", Transaction: test.transaction}
			_, err := p.Execute(t.Context(), request)
			var refusal *model.Refusal
			var got model.Code
			if errors.As(err, &refusal) {
				got = refusal.Code
			}
			if got != test.want {
				t.Errorf("got refusal %q (%v), want %q", got, err, test.want)
			}
			if refusal != nil && !refusal.NotRun {
				t.Error("got an unknown outcome, want a refusal as not run")
			}
		})
	}
}

func BenchmarkRefusedRequest(b *testing.B) {
	p := newTestProxy(b, 0)
	handler, err := p.Handler()
	if err != nil {
		b.Fatal(err)
	}
	body := []byte(`{"request":"r-1","database":"loans","kind":"report","operation":"any","arguments":{}}`)
	b.Run("handler", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			request := httptest.NewRequest(http.MethodPost, "/v1/statements", bytes.NewReader(body))
			request.Header.Set("Content-Type", "application/json")
			answer := httptest.NewRecorder()
			handler.ServeHTTP(answer, request)
			if got, want := answer.Code, http.StatusTooManyRequests; got != want {
				b.Fatalf("got status %d, want %d", got, want)
			}
		}
	})
	b.Run("loopback", func(b *testing.B) {
		server := httptest.NewServer(handler)
		defer server.Close()
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}
		b.SetParallelism(8)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				answer, err := client.Post(server.URL+"/v1/statements", "application/json", bytes.NewReader(body))
				if err != nil {
					b.Error(err)
					return
				}
				_ = answer.Body.Close() // only the response headers matter
			}
		})
	})
}
