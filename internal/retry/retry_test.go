package retry

import (
	"errors"
	"testing"
	"time"

	"redwingspread/internal/model"
)

func TestAllowed(t *testing.T) {
	later := model.Refuse(model.CodeOverloaded, "full")
	later.RetryAfter = time.Second
	ended := model.Doubt("commit was lost")
	ended.Code = model.CodeTransactionEnded
	tests := map[string]struct {
		err        error
		access     model.Access
		repeatable bool
		left       time.Duration
		want       bool
	}{
		"no error":                   {access: model.Read, left: time.Second},
		"not run":                    {err: model.Refuse(model.CodeUnavailable, "x"), access: model.Write, left: time.Second, want: true},
		"no time left":               {err: model.Refuse(model.CodeUnavailable, "x"), access: model.Write},
		"back after the deadline":    {err: later, access: model.Read, left: time.Second},
		"back before the deadline":   {err: later, access: model.Read, left: 2 * time.Second, want: true},
		"bad input stays bad":        {err: model.Refuse(model.CodeInvalid, "x"), access: model.Read, left: time.Second},
		"bad token stays bad":        {err: model.Refuse(model.CodeBadToken, "x"), access: model.Read, left: time.Second},
		"lost write stays lost":      {err: model.Refuse(model.CodeLostWrite, "x"), access: model.Read, left: time.Second},
		"unknown write":              {err: model.Doubt("x"), access: model.Write, left: time.Second},
		"unknown repeatable write":   {err: model.Doubt("x"), access: model.Write, repeatable: true, left: time.Second, want: true},
		"unknown read":               {err: model.Doubt("x"), access: model.Read, left: time.Second, want: true},
		"broken connection, write":   {err: errors.New("reset"), access: model.Write, left: time.Second},
		"broken connection, read":    {err: errors.New("reset"), access: model.Read, left: time.Second, want: true},
		"transaction ended, unknown": {err: ended, access: model.Write, repeatable: true, left: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Allowed(test.err, test.access, test.repeatable, test.left); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestBudget(t *testing.T) {
	tests := map[string]struct {
		successes int
		passed    time.Duration
		want      int // retries allowed after the full budget was used
	}{
		"nothing":             {want: 0},
		"some successes":      {successes: 50, want: 6},
		"many successes":      {successes: 10000, want: defaultBurst},
		"a quiet time":        {passed: 3 * time.Second, want: 3},
		"a very quiet time":   {passed: time.Hour, want: defaultBurst},
		"successes and quiet": {successes: 10, passed: time.Second, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			budget := NewBudget()
			budget.PerSuccess = 0.125
			budget.Now = func() time.Time { return now }
			if got, want := drain(budget), defaultBurst; got != want {
				t.Fatalf("got %d retries of a full budget, want %d", got, want)
			}
			for range test.successes {
				budget.RecordSuccess()
			}
			now = now.Add(test.passed)
			if got := drain(budget); got != test.want {
				t.Errorf("got %d retries, want %d", got, test.want)
			}
		})
	}
}

// drain takes retries until the budget refuses one and returns their number.
func drain(budget *Budget) int {
	taken := 0
	for budget.Take() {
		taken++
	}
	return taken
}

func TestBackoffGrowsAndObeys(t *testing.T) {
	tests := map[string]struct {
		pauses *Backoff
		most   time.Duration // of a pause
		tries  int           // in ten seconds, at most
	}{
		"of a request":           {pauses: NewBackoff(), most: 2 * maxInterval, tries: 60},
		"of a shared dependency": {pauses: NewSharedBackoff(), most: 2 * sharedMaxInterval, tries: 30},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tries := 0
			for passed := time.Duration(0); passed < 10*time.Second; tries++ {
				got := test.pauses.Next(0)
				if got <= 0 || got > test.most {
					t.Fatalf("got a pause of %v at try %d, want more than 0 and at most %v", got, tries, test.most)
				}
				passed += got
			}
			if tries > test.tries {
				t.Errorf("got %d tries in ten seconds, want at most %d", tries, test.tries)
			}
			if got, want := test.pauses.Next(time.Minute), time.Minute; got != want {
				t.Errorf("got a pause of %v, want the %v that the refusal asked for", got, want)
			}
		})
	}
}
