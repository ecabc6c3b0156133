package instance_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/standin/fault"
)

// contract is what every endpoint keeps, whether it is reached in memory or over HTTP.
var contract = map[string]struct {
	do   func(g *group) []string
	want []string
}{
	"a write is read back": {
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
	"work of another term": {
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
	"a transaction is seen by itself alone until its commit": {
		do: func(g *group) []string {
			ctx := context.Background()
			c, other := g.open(0), g.open(0)
			said := []string{run(c, 1, offer("a")), run(c, 1, register("b", "ann"))}
			_, err := c.Begin(ctx, 1)
			said = append(said, text(model.Result{Done: true}, err))
			said = append(said, run(c, 1, pay("c")), run(c, 1, seat(model.Point{}, 0)), run(other, 1, seat(model.Point{}, 0)))
			result, _, err := c.Commit(ctx, 1, "t")
			said = append(said, text(result, err), run(other, 1, seat(model.Point{}, 0)))
			result, _, err = c.Commit(ctx, 1, "t")
			return append(said, text(result, err))
		},
		want: []string{"done", "done payments=0", "done", "done payments=1", "done payments=1", "done payments=0", "done payments=1", "done payments=1", "repeated payments=1"},
	},
	"a transaction that no longer holds fails as a whole": {
		do: func(g *group) []string {
			ctx := context.Background()
			c, other := g.open(0), g.open(0)
			said := []string{run(c, 1, offer("a"))}
			_, _ = c.Begin(ctx, 1)
			said = append(said, run(c, 1, register("b", "ann")), run(c, 1, pay("c")), run(other, 1, register("d", "ann")))
			result, _, err := c.Commit(ctx, 1, "t")
			return append(said, text(result, err), run(other, 1, seat(model.Point{}, 0)))
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
	"a rollback drops the writes": {
		do: func(g *group) []string {
			ctx := context.Background()
			c := g.open(0)
			said := []string{run(c, 1, offer("a")), run(c, 1, register("b", "ann"))}
			_, _ = c.Begin(ctx, 1)
			said = append(said, run(c, 1, pay("c")))
			_ = c.Rollback(ctx)
			return append(said, run(c, 1, seat(model.Point{}, 0)))
		},
		want: []string{"done", "done payments=0", "done payments=1", "done payments=0"},
	},
	"a fenced primary takes no work of the old term and closes its connections": {
		do: func(g *group) []string {
			ctx := context.Background()
			c := g.open(0)
			said := []string{run(c, 1, offer("a"))}
			state, err := g.client(0, "h1").Fence(ctx, 2)
			said = append(said, string(state.Role), text(model.Result{Done: true}, err))
			said = append(said, run(c, 1, offer("b")), run(c, 2, offer("b")))
			_, err = g.client(0, "h1").Fence(ctx, 1)
			return append(said, text(model.Result{}, err))
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
	"a primary of the term does not follow": {
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
			return []string{text(model.Result{}, err), text(model.Result{Done: state.Leaving}, nil)}
		},
		want: []string{"leaving notRun=true", "done"},
	},
	"an answer lost after the effect is unknown, and its outcome is found": {
		do: func(g *group) []string {
			c := g.open(0)
			g.fault(0, fault.Faults{LoseAnswers: 1})
			said := []string{run(c, 1, offer("a"))}
			g.fault(0, fault.Faults{})
			result, _, err := g.client(0, "h1").Outcome(context.Background(), 1, "a")
			return append(said, text(result, err))
		},
		want: []string{"outcome_unknown notRun=false", "repeated"},
	},
	"an answer cut short is unknown": {
		do: func(g *group) []string {
			c := g.open(0)
			g.fault(0, fault.Faults{CutAnswers: 1})
			return []string{run(c, 1, offer("a"))}
		},
		want: []string{"outcome_unknown notRun=false"},
	},
	"a doubled request has one effect": {
		do: func(g *group) []string {
			c := g.open(0)
			said := []string{run(c, 1, offer("a")), run(c, 1, register("b", "ann"))}
			g.fault(0, fault.Faults{DoubleRequests: 1})
			said = append(said, run(c, 1, pay("c")))
			g.fault(0, fault.Faults{})
			return append(said, run(c, 1, seat(model.Point{}, 0)))
		},
		want: []string{"done", "done payments=0", "done payments=1", "done payments=1"},
	},
	"an outage runs nothing": {
		do: func(g *group) []string {
			c := g.open(0)
			g.fault(0, fault.Faults{Outage: true})
			said := []string{run(c, 1, offer("a"))}
			g.fault(0, fault.Faults{})
			_, found, _ := g.client(0, "h1").Outcome(context.Background(), 1, "a")
			return append(said, text(model.Result{Done: found}, nil))
		},
		want: []string{"unavailable notRun=true", "failed: "},
	},
	"an isolated host gets no answer, another one does": {
		do: func(g *group) []string {
			g.fault(0, fault.Faults{IsolatedFrom: []fault.Sender{"h1"}})
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, err := g.client(0, "h1").State(ctx)
			_, other := g.client(0, "h2").State(context.Background())
			return []string{text(model.Result{}, err), text(model.Result{Done: true}, other)}
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

// compare reports the outcomes that differ.
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
