package instance_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/standin/fault"
)

// settle is longer than replication takes in any of these tests.
const settle = time.Second

// failOver makes instance 1 the primary of term 2 in the way an owner does: it fences instance 1 and the others, promotes
// instance 1 and lets the others follow it.
func failOver(g *group, others ...int) {
	ctx := context.Background()
	for _, number := range append([]int{1}, others...) {
		_, _ = g.client(number, "h1").Fence(ctx, 2)
	}
	_, _ = g.client(1, "h1").Promote(ctx, 2)
	for _, number := range others {
		_, _ = g.client(number, "h1").Follow(ctx, 2, model.Instance{ID: "i1", Address: g.addresses[1]})
	}
}

// position returns the length of an instance's log.
func position(g *group, number int) model.Position {
	state, err := g.client(number, "h1").State(context.Background())
	if err != nil {
		g.t.Fatalf("state: got error %v, want none", err)
	}
	return state.Point.Position
}

func TestReplication(t *testing.T) {
	lag := 2 * time.Second
	tests := map[string]struct {
		do   func(g *group) []string
		want []string
	}{
		"a replica refuses a read at a point that its log has not reached, and serves it after waiting": {
			do: func(g *group) []string {
				c, replica := g.open(0), g.open(1)
				result, _, _ := c.Run(context.Background(), 1, offer("a"))
				return []string{run(replica, 1, seat(result.Point, 0)), run(replica, 1, seat(result.Point, settle))}
			},
			want: []string{"behind notRun=true", "done"},
		},
		"a lagging replica refuses a read that requires younger data": {
			do: func(g *group) []string {
				c, replica := g.open(0), g.open(1)
				time.Sleep(settle)
				g.fault(1, fault.Faults{Lag: &lag})
				run(c, 1, offer("a"))
				time.Sleep(settle)
				lenient, strict := seat(model.Point{}, 0), seat(model.Point{}, 0)
				limits := []model.Age{model.Age(2 * settle), model.Age(settle / 2)}
				lenient.MaxAge, strict.MaxAge = &limits[0], &limits[1]
				return []string{run(replica, 1, lenient), run(replica, 1, strict)}
			},
			want: []string{"done", "behind notRun=true"},
		},
		"a shortened lag takes effect at once": {
			do: func(g *group) []string {
				g.fault(1, fault.Faults{Lag: &lag})
				c, replica := g.open(0), g.open(1)
				result, _, _ := c.Run(context.Background(), 1, offer("a"))
				time.Sleep(lag / 2)
				got := []string{run(replica, 1, seat(result.Point, 0))}
				g.fault(1, fault.Faults{})
				return append(got, run(replica, 1, seat(result.Point, lag/4)))
			},
			want: []string{"behind notRun=true", "done"},
		},
		"a promoted replica recognises a repeated request id": {
			do: func(g *group) []string {
				got := []string{run(g.open(0), 1, offer("a"))}
				time.Sleep(settle)
				failOver(g, 0, 2)
				return append(got, run(g.openIn(1, 2), 2, offer("a")))
			},
			want: []string{"done", "repeated"},
		},
		"an idle replica adopts the term of its new primary, and an isolated former primary does not": {
			do: func(g *group) []string {
				run(g.open(0), 1, offer("a"))
				time.Sleep(settle)
				g.fault(0, fault.Faults{IsolatedFrom: []fault.Sender{"i1", "i2"}})
				run(g.open(0), 1, register("lost", "ann"))
				failOver(g, 2)
				time.Sleep(settle)
				var points []string
				for number := range 3 {
					state, _ := g.client(number, "h1").Fence(context.Background(), 3)
					points = append(points, fmt.Sprint(state.Point))
				}
				return points
			},
			want: []string{"{1 2}", "{2 1}", "{2 1}"},
		},
		"a log that diverges from the new primary is truncated": {
			do: func(g *group) []string {
				c := g.open(0)
				got := []string{run(c, 1, offer("a"))}
				time.Sleep(settle)
				g.fault(0, fault.Faults{IsolatedFrom: []fault.Sender{"i1", "i2"}})
				got = append(got, run(c, 1, register("lost", "ann")))
				failOver(g, 2)
				got = append(got, run(g.openIn(1, 2), 2, register("b", "bob")))
				_, err := g.client(0, "h1").Follow(context.Background(), 2, model.Instance{Address: g.addresses[1]})
				got = append(got, text(model.Result{Succeeded: true}, err))
				time.Sleep(settle)
				_, found, err := g.client(0, "h1").Outcome(context.Background(), 2, "lost")
				return append(got, text(model.Result{Succeeded: found}, err), run(g.openIn(0, 2), 2, seat(model.Point{Term: 2, Position: 2}, 0)))
			},
			want: []string{"done", "done payments=0", "done payments=0", "done", "failed: ", "done"},
		},
		"a fenced replica fetches nothing more from the old primary": {
			do: func(g *group) []string {
				c := g.open(0)
				run(c, 1, offer("a"))
				time.Sleep(settle)
				_, _ = g.client(2, "h1").Fence(context.Background(), 2)
				run(c, 1, register("b", "ann"))
				time.Sleep(settle)
				same := position(g, 1) == 2 && position(g, 2) == 1
				return []string{text(model.Result{Succeeded: same}, nil)}
			},
			want: []string{"done"},
		},
		"statements in excess of the slots are refused, not queued": {
			do: func(g *group) []string {
				got := make(chan string, 3)
				for range 3 {
					c := g.open(0)
					go func() { got <- run(c, 1, seat(model.Point{}, 0)) }()
				}
				return []string{<-got, <-got, <-got}
			},
			want: []string{"slots_full notRun=true", "done", "done"},
		},
		"a statement that is running when the instance is fenced has no effect": {
			do: func(g *group) []string {
				c := g.open(0)
				got := make(chan string, 1)
				go func() { got <- run(c, 1, offer("a")) }()
				synctest.Wait()
				_, _ = g.client(0, "h1").Fence(context.Background(), 2)
				return []string{<-got, text(model.Result{Succeeded: position(g, 0) == 0}, nil)}
			},
			want: []string{"wrong_term notRun=true", "done"},
		},
		"an idle connection is closed": {
			do: func(g *group) []string {
				c := g.open(0)
				time.Sleep(2 * time.Minute)
				return []string{run(c, 1, offer("a"))}
			},
			want: []string{"unknown_connection notRun=true"},
		},
		"a wait for a point ends at its limit": {
			do: func(g *group) []string {
				start := time.Now()
				state, err := g.client(0, "h1").Await(context.Background(), model.Point{Term: 1, Position: 9}, settle)
				inTime := time.Since(start) == settle && state.Point.Position == 0
				return []string{text(model.Result{Succeeded: inTime}, err)}
			},
			want: []string{"done"},
		},
		"a delayed response arrives after its delay": {
			do: func(g *group) []string {
				g.fault(0, fault.Faults{LateAnswers: 1, LateBy: settle})
				start := time.Now()
				_, err := g.client(0, "h1").State(context.Background())
				return []string{text(model.Result{Succeeded: time.Since(start) == settle}, err)}
			},
			want: []string{"done"},
		},
		"a slow instance responds after its delay": {
			do: func(g *group) []string {
				g.fault(0, fault.Faults{SlowBy: settle})
				start := time.Now()
				_, err := g.client(0, "h1").State(context.Background())
				return []string{text(model.Result{Succeeded: time.Since(start) == settle}, err)}
			},
			want: []string{"done"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				compare(t, test.do(memoryGroup(t)), test.want)
			})
		})
	}
}

func TestUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := memoryGroup(t)
		g.addresses[0] = "10.9.9.9:1"
		_, err := g.client(0, "h1").Fence(context.Background(), 2)
		var got *model.Refusal
		if !errors.As(err, &got) || got.Code != model.CodeUnavailable || !got.NotRun {
			t.Errorf("got %v, want unavailable, not run", err)
		}
	})
}
