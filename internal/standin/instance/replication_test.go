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

// settle is longer than any replication in these tests takes.
const settle = time.Second

// failOver moves the group to instance 1 in term 2, as an owner does.
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

// position returns the position of an instance.
func position(g *group, number int) model.Position {
	state, err := g.client(number, "h1").State(context.Background())
	if err != nil {
		g.t.Fatalf("state: got %v, want none", err)
	}
	return state.Point.Position
}

func TestReplication(t *testing.T) {
	lag := 2 * time.Second
	tests := map[string]struct {
		do   func(g *group) []string
		want []string
	}{
		"a replica refuses a point that it does not hold, and serves it once it does": {
			do: func(g *group) []string {
				c, replica := g.open(0), g.open(1)
				result, _, _ := c.Run(context.Background(), 1, offer("a"))
				return []string{run(replica, 1, seat(result.Point, 0)), run(replica, 1, seat(result.Point, settle))}
			},
			want: []string{"behind notRun=true", "done"},
		},
		"a replica behind by its lag tells its age": {
			do: func(g *group) []string {
				c, replica := g.open(0), g.open(1)
				time.Sleep(settle)
				g.fault(1, fault.Faults{Lag: &lag})
				run(c, 1, offer("a"))
				time.Sleep(settle)
				old, young := seat(model.Point{}, 0), seat(model.Point{}, 0)
				limits := []model.Age{model.Age(2 * settle), model.Age(settle / 2)}
				old.MaxAge, young.MaxAge = &limits[0], &limits[1]
				return []string{run(replica, 1, old), run(replica, 1, young)}
			},
			want: []string{"done", "behind notRun=true"},
		},
		"a shortened lag takes effect at once": {
			do: func(g *group) []string {
				g.fault(1, fault.Faults{Lag: &lag})
				c, replica := g.open(0), g.open(1)
				result, _, _ := c.Run(context.Background(), 1, offer("a"))
				time.Sleep(lag / 2)
				said := []string{run(replica, 1, seat(result.Point, 0))}
				g.fault(1, fault.Faults{})
				return append(said, run(replica, 1, seat(result.Point, lag/4)))
			},
			want: []string{"behind notRun=true", "done"},
		},
		"a request id is repeated on the promoted replica": {
			do: func(g *group) []string {
				said := []string{run(g.open(0), 1, offer("a"))}
				time.Sleep(settle)
				failOver(g, 0, 2)
				return append(said, run(g.openIn(1, 2), 2, offer("a")))
			},
			want: []string{"done", "repeated"},
		},
		"an idle replica learns the term of its primary, and a fenced log that missed it does not": {
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
		"a log past the fork is cut back": {
			do: func(g *group) []string {
				c := g.open(0)
				said := []string{run(c, 1, offer("a"))}
				time.Sleep(settle)
				g.fault(0, fault.Faults{IsolatedFrom: []fault.Sender{"i1", "i2"}})
				said = append(said, run(c, 1, register("lost", "ann")))
				failOver(g, 2)
				said = append(said, run(g.openIn(1, 2), 2, register("b", "bob")))
				_, err := g.client(0, "h1").Follow(context.Background(), 2, model.Instance{Address: g.addresses[1]})
				said = append(said, text(model.Result{Done: true}, err))
				time.Sleep(settle)
				_, found, err := g.client(0, "h1").Outcome(context.Background(), 2, "lost")
				return append(said, text(model.Result{Done: found}, err), run(g.openIn(0, 2), 2, seat(model.Point{Term: 2, Position: 2}, 0)))
			},
			want: []string{"done", "done payments=0", "done payments=0", "done", "failed: ", "done"},
		},
		"a fenced replica takes nothing more from the old primary": {
			do: func(g *group) []string {
				c := g.open(0)
				run(c, 1, offer("a"))
				time.Sleep(settle)
				_, _ = g.client(2, "h1").Fence(context.Background(), 2)
				run(c, 1, register("b", "ann"))
				time.Sleep(settle)
				same := position(g, 1) == 2 && position(g, 2) == 1
				return []string{text(model.Result{Done: same}, nil)}
			},
			want: []string{"done"},
		},
		"statements beyond the slots are refused, not queued": {
			do: func(g *group) []string {
				said := make(chan string, 3)
				for range 3 {
					c := g.open(0)
					go func() { said <- run(c, 1, seat(model.Point{}, 0)) }()
				}
				return []string{<-said, <-said, <-said}
			},
			want: []string{"slots_full notRun=true", "done", "done"},
		},
		"a statement that a fence overtakes has no effect": {
			do: func(g *group) []string {
				c := g.open(0)
				said := make(chan string, 1)
				go func() { said <- run(c, 1, offer("a")) }()
				synctest.Wait()
				_, _ = g.client(0, "h1").Fence(context.Background(), 2)
				return []string{<-said, text(model.Result{Done: position(g, 0) == 0}, nil)}
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
				begin := time.Now()
				state, err := g.client(0, "h1").Await(context.Background(), model.Point{Term: 1, Position: 9}, settle)
				inTime := time.Since(begin) == settle && state.Point.Position == 0
				return []string{text(model.Result{Done: inTime}, err)}
			},
			want: []string{"done"},
		},
		"a late answer comes after its delay": {
			do: func(g *group) []string {
				g.fault(0, fault.Faults{LateAnswers: 1, LateBy: settle})
				begin := time.Now()
				_, err := g.client(0, "h1").State(context.Background())
				return []string{text(model.Result{Done: time.Since(begin) == settle}, err)}
			},
			want: []string{"done"},
		},
		"a slow instance answers after its delay": {
			do: func(g *group) []string {
				g.fault(0, fault.Faults{SlowBy: settle})
				begin := time.Now()
				_, err := g.client(0, "h1").State(context.Background())
				return []string{text(model.Result{Done: time.Since(begin) == settle}, err)}
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
