package front

import (
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/control"
	"redwingspread/internal/controller"
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

// TestStartBy guards against statements that wait past the limit of the host that passes them on, that get no new time after their
// wait for a primary, or no time for another attempt after one that was sent.
func TestStartBy(t *testing.T) {
	const goal, timeout = time.Second, 3 * time.Second
	tests := map[string]struct {
		limit   admit.StartLimit
		relayed time.Duration // limit of the host that passes the session on; zero for a local session
		change  func(*execution)
		service time.Duration
		wait    time.Duration
		want    time.Duration // from the time from which the limit counts
	}{
		"a quarter of the goal":              {limit: admit.NewStartLimit(), want: goal / 4},
		"behind a queue":                     {limit: admit.NewStartLimit(), wait: time.Second, service: time.Second, want: goal/4 + time.Second},
		"passed on with less time":           {limit: admit.NewStartLimit(), relayed: goal / 10, want: goal / 10},
		"passed on with more time":           {limit: admit.NewStartLimit(), relayed: goal, want: goal / 4},
		"passed on, after a wait":            {limit: admit.NewStartLimit(), relayed: goal / 10, change: func(e *execution) { e.renewStart(e.arrived) }, want: goal / 4},
		"after an attempt":                   {limit: admit.NewStartLimit(), change: (*execution).allowRest, want: timeout},
		"after an attempt, its work is kept": {limit: admit.StartLimit{WorkReserve: 1}, change: (*execution).allowRest, service: time.Second, want: timeout - time.Second},
		"own work and an attempt elsewhere":  {limit: admit.StartLimit{GoalShare: 1, WorkReserve: 1, AttemptReserve: 1}, service: goal / 5, want: goal * 3 / 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := New()
				h.Loop = control.New(controller.New())
				h.StartLimit = test.limit
				now := time.Now()
				s := &callerSession{host: h, relayed: test.relayed != 0, startLimit: now.Add(test.relayed), responseLimit: now.Add(time.Minute)}
				e := s.newExecution(statement.Request{}, model.Kind{Goal: goal, Timeout: timeout, Consistency: model.ReadBounded})
				e.access = model.Read
				if test.change != nil {
					test.change(e)
				}
				if got := e.startByAt(now, test.service, test.wait).Sub(e.waitsFrom); got != test.want {
					t.Errorf("got %v, want %v", got, test.want)
				}
			})
		})
	}
}

// TestAnswerBy guards against statements that are sent although they can't be answered before their deadline, and against service times
// of an incident that keep statements from an instance for good.
func TestAnswerBy(t *testing.T) {
	const goal, timeout = time.Second, 3 * time.Second
	tests := map[string]struct {
		change        func(*execution)
		service, wait time.Duration
		want          time.Duration // from the arrival
	}{
		"within the goal":                  {service: 20 * time.Millisecond, want: goal/4 + 20*time.Millisecond},
		"behind a queue":                   {service: 20 * time.Millisecond, wait: time.Second, want: goal/4 + time.Second + 20*time.Millisecond},
		"behind a queue past the deadline": {service: time.Second, wait: time.Minute, want: timeout},
		"after an attempt":                 {change: (*execution).allowRest, service: time.Second, want: timeout},
		"service time of an incident":      {service: time.Minute, want: goal/4 + time.Minute},
		"after an attempt of an incident":  {change: (*execution).allowRest, service: time.Minute, want: timeout/2 + time.Minute},
		"after the deadline":               {change: func(e *execution) { time.Sleep(2 * timeout) }, service: time.Second, wait: time.Minute, want: timeout + time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := New()
				h.Loop = control.New(controller.New())
				s := &callerSession{host: h}
				e := s.newExecution(statement.Request{}, model.Kind{Goal: goal, Timeout: timeout, Consistency: model.ReadBounded})
				if test.change != nil {
					test.change(e)
				}
				if got := e.answerBy(time.Now(), test.service, test.wait).Sub(e.arrived); got != test.want {
					t.Errorf("got %v, want %v", got, test.want)
				}
			})
		})
	}
}
