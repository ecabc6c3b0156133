package owner

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

func TestObserver(t *testing.T) {
	first := model.InstanceState{Instance: "seats-a", Role: model.RolePrimary, Term: 2, Point: model.Point{Term: 2, Position: 1}}
	tests := map[string]struct {
		delay  time.Duration
		change func(*model.InstanceState)
		want   int // number of forwarded states
	}{
		"new position, at once":                             {delay: 0, change: func(s *model.InstanceState) { s.Point.Position = 2 }, want: 1},
		"new position, after the interval":                  {delay: observerMinInterval, change: func(s *model.InstanceState) { s.Point.Position = 2 }, want: 2},
		"new term, at once":                                 {delay: 0, change: func(s *model.InstanceState) { s.Term = 3 }, want: 2},
		"new role, at once":                                 {delay: 0, change: func(s *model.InstanceState) { s.Role = model.RoleFenced }, want: 2},
		"leaving, at once":                                  {delay: 0, change: func(s *model.InstanceState) { s.Leaving = true }, want: 2},
		"another instance, at once":                         {delay: 0, change: func(s *model.InstanceState) { s.Instance = "seats-b" }, want: 2},
		"new position, just before the end of the interval": {delay: observerMinInterval - 1, change: func(s *model.InstanceState) { s.Point.Position = 2 }, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			got := 0
			observer := NewObserver()
			observer.Now = func() time.Time { return now }
			observer.Offer = func(model.InstanceState) { got++ }
			observer.Observe(first)
			now = now.Add(test.delay)
			next := first
			test.change(&next)
			observer.Observe(next)
			if got != test.want {
				t.Errorf("got %d states, want %d", got, test.want)
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	observer := NewObserver()
	observer.Offer = func(model.InstanceState) {}
	state := model.InstanceState{Instance: "seats-a", Role: model.RolePrimary, Term: 2}
	b.ReportAllocs()
	for b.Loop() {
		state.Point.Position++
		observer.Observe(state)
	}
}
