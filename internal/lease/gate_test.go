package lease

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

// at returns the time after some milliseconds.
func at(ms int) model.Instant { return model.Instant(time.Duration(ms) * time.Millisecond) }

func TestGate(t *testing.T) {
	tests := map[string]struct {
		before                func(g *Gate[string]) // before the statement enters at 100 ms
		after                 func(g *Gate[string]) // while the statement is in progress
		answered              int                   // time of the response
		enters, valid, closed bool                  // closed: released once the statement has left
	}{
		"within the lease":                     {answered: 200, enters: true, valid: true},
		"after the lease":                      {answered: 600, enters: true},
		"renewed in time":                      {after: func(g *Gate[string]) { g.Open(at(400), at(900)) }, answered: 600, enters: true, valid: true},
		"renewed after its end":                {after: func(g *Gate[string]) { g.Open(at(700), at(1200)) }, answered: 800, enters: true},
		"closed before":                        {before: func(g *Gate[string]) { g.Close(at(50), 1) }, answered: 200, closed: true},
		"closed meanwhile":                     {after: func(g *Gate[string]) { g.Close(at(150), 1) }, answered: 200, enters: true, valid: true, closed: true},
		"closed and assigned again":            {after: func(g *Gate[string]) { g.Close(at(150), 1); g.Open(at(200), at(900)) }, answered: 300, enters: true, valid: true},
		"closed, lapsed and assigned again":    {after: func(g *Gate[string]) { g.Close(at(150), 1); g.Open(at(600), at(900)) }, answered: 700, enters: true},
		"a lease that ended before":            {before: func(g *Gate[string]) { g.Open(at(0), at(50)) }, answered: 200},
		"closed, and the others' lease renews": {after: func(g *Gate[string]) { g.Close(at(150), 1); g.Close(at(400), 2) }, answered: 600, enters: true, closed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := &Gate[string]{}
			g.Open(at(0), at(500))
			if test.before != nil {
				test.before(g)
			}
			if got := g.Enter(at(100), "conn"); got != test.enters {
				t.Fatalf("got entry %v, want %v", got, test.enters)
			}
			if test.after != nil {
				test.after(g)
			}
			if test.enters && g.Closed() != 0 {
				t.Error("got a released primary with a statement in progress")
			}
			if got := test.enters && g.Valid(at(test.answered), "conn"); got != test.valid {
				t.Errorf("got a valid response %v, want %v", got, test.valid)
			}
			g.Leave("conn")
			if got := g.Closed() != 0; got != test.closed {
				t.Errorf("got closed %v, want %v", got, test.closed)
			}
		})
	}
}

// TestWithdrawn checks that the use of an instance that is gone ends at once.
func TestWithdrawn(t *testing.T) {
	g := &Gate[string]{}
	g.Open(at(0), Forever)
	g.Enter(at(10), "conn")
	g.Close(at(20), Withdrawn)
	if got := len(g.Overdue(at(20), 0)); got != 1 || g.Admits(at(20)) {
		t.Errorf("got %d connections to close and admitted %v, want 1 and false", got, g.Admits(at(20)))
	}
}

func TestOverdue(t *testing.T) {
	g := &Gate[string]{}
	g.Open(at(0), Forever)
	g.Enter(at(10), "conn")
	g.Close(at(20), 1)
	for ms, want := range map[int]int{100: 0, 169: 0, 170: 1, 500: 1} {
		if got := len(g.Overdue(at(ms), 150*time.Millisecond)); got != want {
			t.Errorf("got %d overdue connections at %d ms, want %d", got, ms, want)
		}
	}
}
