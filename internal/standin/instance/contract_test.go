package instance_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/standin/fault"
)

// contract lists the behaviour that every endpoint must show, in memory and over HTTP.
var contract = map[string]struct {
	do   func(g *group) []string
	want []string
}{
	"a read sees an earlier write": {
		do: func(g *group) []string {
			c := g.open(0)
			return []string{run(c, 1, offer("a")), run(c, 1, register("b", "ann")), run(c, 1, pay("c")), run(c, 1, seat(model.Point{}, 0))}
		},
		want: []string{"done", "done payments=0", "done payments=1", "done payments=1"},
	},
	"a repeated request id has one effect": {
		do: func(g *group) []string {
			c := g.open(0)
			return []string{run(c, 1, offer("a")), run(c, 1, register("b", "ann")), run(c, 1, pay("c")), run(c, 1, pay("c")), run(c, 1, seat(model.Point{}, 0))}
		},
		want: []string{"done", "done payments=0", "done payments=1", "repeated payments=1", "done payments=1"},
	},
	"a failed write is recorded too": {
		do: func(g *group) []string {
			c := g.open(0)
			return []string{run(c, 1, register("a", "ann")), run(c, 1, offer("b")), run(c, 1, register("a", "ann"))}
		},
		want: []string{"failed: unknown section", "done", "failed: unknown section"},
	},
	"an unknown operation": {
		do:   func(g *group) []string { return []string{run(g.open(0), 1, work("a", model.Read, "fly", nil))} },
		want: []string{"unknown_operation notRun=true"},
	},
	"a missing argument": {
		do:   func(g *group) []string { return []string{run(g.open(0), 1, work("a", model.Write, "pay", nil))} },
		want: []string{"invalid notRun=true"},
	},
	"a write on a replica": {
		do:   func(g *group) []string { return []string{run(g.open(1), 1, offer("a"))} },
		want: []string{"not_primary notRun=true"},
	},
	"a statement for another term": {
		do:   func(g *group) []string { return []string{run(g.open(0), 2, offer("a"))} },
		want: []string{"wrong_term notRun=true"},
	},
	"a closed connection": {
		do: func(g *group) []string {
			c := g.open(0)
			_ = c.Close(context.Background())
			return []string{run(c, 1, offer("a"))}
		},
		want: []string{"unknown_connection notRun=true"},
	},
	"uncommitted writes are visible only to their own transaction": {
		do: func(g *group) []string {
			ctx := context.Background()
			c, other := g.open(0), g.open(0)
			got := []string{run(c, 1, offer("a")), run(c, 1, register("b", "ann"))}
			_, err := c.Begin(ctx, 1)
			got = append(got, text(model.Result{Succeeded: true}, err))
			got = append(got, run(c, 1, pay("c")), run(c, 1, seat(model.Point{}, 0)), run(other, 1, seat(model.Point{}, 0)))
			result, _, err := c.Commit(ctx, 1, "t")
			got = append(got, text(result, err), run(other, 1, seat(model.Point{}, 0)))
			result, _, err = c.Commit(ctx, 1, "t")
			return append(got, text(result, err))
		},
		want: []string{"done", "done payments=0", "done", "done payments=1", "done payments=1", "done payments=0", "done payments=1", "done payments=1", "repeated payments=1"},
	},
	"a transaction whose write fails at commit has no effect": {
		do: func(g *group) []string {
			ctx := context.Background()
			c, other := g.open(0), g.open(0)
			got := []string{run(c, 1, offer("a"))}
			_, _ = c.Begin(ctx, 1)
			got = append(got, run(c, 1, register("b", "ann")), run(c, 1, pay("c")), run(other, 1, register("d", "ann")))
			result, _, err := c.Commit(ctx, 1, "t")
			return append(got, text(result, err), run(other, 1, seat(model.Point{}, 0)))
		},
		want: []string{"done", "done payments=0", "done payments=1", "done payments=0", "failed: already registered", "done payments=0"},
	},
	"commit and rollback without a transaction": {
		do: func(g *group) []string {
			c := g.open(0)
			result, _, err := c.Commit(context.Background(), 1, "t")
			return []string{text(result, err), text(model.Result{}, c.Rollback(context.Background()))}
		},
		want: []string{"no_transaction notRun=true", "no_transaction notRun=true"},
	},
	"a rollback discards the writes": {
		do: func(g *group) []string {
			ctx := context.Background()
			c := g.open(0)
			got := []string{run(c, 1, offer("a")), run(c, 1, register("b", "ann"))}
			_, _ = c.Begin(ctx, 1)
			got = append(got, run(c, 1, pay("c")))
			_ = c.Rollback(ctx)
			return append(got, run(c, 1, seat(model.Point{}, 0)))
		},
		want: []string{"done", "done payments=0", "done payments=1", "done payments=0"},
	},
	"a fenced primary refuses work of the old term and closes its connections": {
		do: func(g *group) []string {
			ctx := context.Background()
			c := g.open(0)
			got := []string{run(c, 1, offer("a"))}
			state, err := g.client(0, "h1").Fence(ctx, 2)
			got = append(got, string(state.Role), text(model.Result{Succeeded: true}, err))
			got = append(got, run(c, 1, offer("b")), run(c, 2, offer("b")))
			_, err = g.client(0, "h1").Fence(ctx, 1)
			return append(got, text(model.Result{}, err))
		},
		want: []string{"done", "fenced", "done", "wrong_term notRun=true", "unknown_connection notRun=true", "wrong_term notRun=true"},
	},
	"promotion at another term than the fenced one": {
		do: func(g *group) []string {
			_, err := g.client(1, "h1").Promote(context.Background(), 2)
			return []string{text(model.Result{}, err)}
		},
		want: []string{"wrong_term notRun=true"},
	},
	"the primary of the term refuses to follow": {
		do: func(g *group) []string {
			_, err := g.client(0, "h1").Follow(context.Background(), 1, model.Instance{Address: g.addresses[1]})
			return []string{text(model.Result{}, err)}
		},
		want: []string{"invalid notRun=true"},
	},
	"another database": {
		do: func(g *group) []string {
			_, _, err := g.client(0, "h1").Open(context.Background(), "h1", "lamps", 1)
			return []string{text(model.Result{}, err)}
		},
		want: []string{"invalid notRun=true"},
	},
	"more connections than the limit": {
		do: func(g *group) []string {
			for range 15 {
				g.open(0)
			}
			_, _, err := g.client(0, "h1").Open(context.Background(), "h1", "fees", 1)
			return []string{text(model.Result{}, err)}
		},
		want: []string{"connections_full notRun=true"},
	},
	"a leaving instance opens no connection": {
		do: func(g *group) []string {
			g.fault(0, fault.Faults{Leaving: true})
			_, _, err := g.client(0, "h1").Open(context.Background(), "h1", "fees", 1)
			state, _ := g.client(0, "h1").State(context.Background())
			return []string{text(model.Result{}, err), text(model.Result{Succeeded: state.Leaving}, nil)}
		},
		want: []string{"leaving notRun=true", "done"},
	},
	"a lost response leaves the outcome unknown, and the outcome can be looked up": {
		do: func(g *group) []string {
			c := g.open(0)
			g.fault(0, fault.Faults{LoseAnswers: 1})
			got := []string{run(c, 1, offer("a"))}
			g.fault(0, fault.Faults{})
			result, _, err := g.client(0, "h1").Outcome(context.Background(), 1, "a")
			return append(got, text(result, err))
		},
		want: []string{"outcome_unknown notRun=false", "repeated"},
	},
	"a truncated response leaves the outcome unknown": {
		do: func(g *group) []string {
			c := g.open(0)
			g.fault(0, fault.Faults{CutAnswers: 1})
			return []string{run(c, 1, offer("a"))}
		},
		want: []string{"outcome_unknown notRun=false"},
	},
	"a duplicated request has one effect": {
		do: func(g *group) []string {
			c := g.open(0)
			got := []string{run(c, 1, offer("a")), run(c, 1, register("b", "ann"))}
			g.fault(0, fault.Faults{DoubleRequests: 1})
			got = append(got, run(c, 1, pay("c")))
			g.fault(0, fault.Faults{})
			return append(got, run(c, 1, seat(model.Point{}, 0)))
		},
		want: []string{"done", "done payments=0", "done payments=1", "done payments=1"},
	},
	"nothing runs during an outage": {
		do: func(g *group) []string {
			c := g.open(0)
			g.fault(0, fault.Faults{Outage: true})
			got := []string{run(c, 1, offer("a"))}
			g.fault(0, fault.Faults{})
			_, found, _ := g.client(0, "h1").Outcome(context.Background(), 1, "a")
			return append(got, text(model.Result{Succeeded: found}, nil))
		},
		want: []string{"unavailable notRun=true", "failed: "},
	},
	"an isolated host gets no response, another one does": {
		do: func(g *group) []string {
			g.fault(0, fault.Faults{IsolatedFrom: []fault.Sender{"h1"}})
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, err := g.client(0, "h1").State(ctx)
			_, other := g.client(0, "h2").State(context.Background())
			return []string{text(model.Result{}, err), text(model.Result{Succeeded: true}, other)}
		},
		want: []string{"unavailable notRun=true", "done"},
	},
}

func TestContractInMemory(t *testing.T) {
	for name, test := range contract {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				compare(t, test.do(memoryGroup(t)), test.want)
			})
		})
	}
}

func TestContractOverHTTP(t *testing.T) {
	for name, test := range contract {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			compare(t, test.do(loopbackGroup(t)), test.want)
		})
	}
}

// compare reports the steps whose outcomes differ.
func compare(t *testing.T, got, want []string) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("got %q, want %q", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("step %d: got %q, want %q", i+1, got[i], want[i])
		}
	}
}
