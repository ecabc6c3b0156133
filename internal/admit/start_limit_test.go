package admit

import (
	"testing"
	"time"
)

// millis returns a duration in milliseconds.
func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// TestStartLimitDefaults guards against defaults that change which statements wait: a quarter of the goal, at least 60 ms, never past
// the deadline, and the expected wait on top.
func TestStartLimitDefaults(t *testing.T) {
	limit := NewStartLimit()
	for _, goal := range []int{0, 10, 100, 240, 500, 1000, 2000} {
		for _, deadline := range []int{-5, 0, 30, 100, 3000, 15000} {
			for _, expected := range []int{0, 7, 400, 20000} {
				for _, service := range []int{0, 40, 4000} {
					s := Start{Goal: millis(goal), Deadline: millis(deadline), Service: millis(service), Expected: millis(expected), Elsewhere: true}
					want := min(max(s.Goal/4, millis(60)), s.Deadline) + s.Expected
					if got := limit.Until(s); got != want {
						t.Errorf("got %v for %+v, want %v", got, s, want)
					}
				}
			}
		}
	}
}

// TestStartLimit guards against waits that leave no time for the statement's own work or for a further attempt, and against service
// times of an incident that keep statements from an instance for good.
func TestStartLimit(t *testing.T) {
	start := Start{Goal: millis(500), Deadline: millis(3000), Service: millis(40)}
	with := func(change func(*Start)) Start {
		s := start
		change(&s)
		return s
	}
	whole := StartLimit{GoalShare: 1, WorkReserve: 1, AttemptReserve: 1}
	tests := map[string]struct {
		limit StartLimit
		start Start
		want  time.Duration
	}{
		"own work":                       {limit: whole, start: start, want: millis(460)},
		"own work and a further attempt": {limit: whole, start: with(func(s *Start) { s.Elsewhere = true }), want: millis(420)},
		"a share below what is kept":     {limit: StartLimit{GoalShare: 0.5, WorkReserve: 1}, start: start, want: millis(250)},
		"share of the deadline":          {limit: StartLimit{GoalShare: 1, DeadlineShare: 0.5}, start: start, want: millis(1500)},
		"deadline less the work":         {limit: StartLimit{DeadlineShare: 1, WorkReserve: 1}, start: start, want: millis(2960)},
		"deadline before the goal":       {limit: whole, start: with(func(s *Start) { s.Deadline = millis(200) }), want: millis(160)},
		"a lower bound":                  {limit: StartLimit{Least: millis(60), WorkReserve: 1}, start: with(func(s *Start) { s.Service = millis(490) }), want: millis(60)},
		"service time of an incident":    {limit: whole, start: with(func(s *Start) { s.Service = time.Minute; s.Goal = s.Deadline }), want: millis(1500)},
		"expected wait within the limit": {limit: StartLimit{GoalShare: 1, RejectBeyond: 1}, start: with(func(s *Start) { s.Expected = millis(400) }), want: millis(500)},
		"expected wait past the limit":   {limit: StartLimit{GoalShare: 1, RejectBeyond: 1}, start: with(func(s *Start) { s.Waited, s.Expected = millis(200), millis(301) }), want: millis(200)},
		"rejected after the limit":       {limit: StartLimit{GoalShare: 1, RejectBeyond: 1}, start: with(func(s *Start) { s.Waited = millis(600) }), want: millis(500)},
		"limit of another host":          {limit: whole, start: with(func(s *Start) { s.Limit = millis(90) }), want: millis(90)},
		"after an attempt that was sent": {limit: whole, start: with(func(s *Start) { s.Sent, s.Limit = true, millis(90) }), want: millis(2960)},
		"extended by the expected wait":  {limit: StartLimit{GoalShare: 0.5, ExpectedShare: 0.5}, start: with(func(s *Start) { s.Expected = millis(100) }), want: millis(300)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.limit.Until(test.start); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
