package retry

import (
	"errors"
	"testing"
	"time"

	"redwingspread/internal/model"
)

func TestAllowed(t *testing.T) {
	overloaded := model.Refuse(model.CodeOverloaded, "full")
	overloaded.RetryAfter = time.Second
	transactionEnded := model.OutcomeUnknown("commit was lost")
	transactionEnded.Code = model.CodeTransactionEnded
	tests := map[string]struct {
		err        error
		access     model.Access
		repeatable bool
		left       time.Duration
		want       bool
	}{
		"no error":                               {access: model.Read, left: time.Second},
		"request not run":                        {err: model.Refuse(model.CodeUnavailable, "x"), access: model.Write, left: time.Second, want: true},
		"no time left":                           {err: model.Refuse(model.CodeUnavailable, "x"), access: model.Write},
		"retry-after past the deadline":          {err: overloaded, access: model.Read, left: time.Second},
		"retry-after before the deadline":        {err: overloaded, access: model.Read, left: 2 * time.Second, want: true},
		"invalid input":                          {err: model.Refuse(model.CodeInvalid, "x"), access: model.Read, left: time.Second},
		"bad token":                              {err: model.Refuse(model.CodeBadToken, "x"), access: model.Read, left: time.Second},
		"lost write":                             {err: model.Refuse(model.CodeLostWrite, "x"), access: model.Read, left: time.Second},
		"write with unknown outcome":             {err: model.OutcomeUnknown("x"), access: model.Write, left: time.Second},
		"repeatable write with unknown outcome":  {err: model.OutcomeUnknown("x"), access: model.Write, repeatable: true, left: time.Second, want: true},
		"read with unknown outcome":              {err: model.OutcomeUnknown("x"), access: model.Read, left: time.Second, want: true},
		"write on a broken connection":           {err: errors.New("reset"), access: model.Write, left: time.Second},
		"read on a broken connection":            {err: errors.New("reset"), access: model.Read, left: time.Second, want: true},
		"ended transaction with unknown outcome": {err: transactionEnded, access: model.Write, repeatable: true, left: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Allowed(test.err, test.access, test.repeatable, test.left); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestLacksRoom guards against attempts that cost an instance nothing and use up the budget, and against others that don't.
func TestLacksRoom(t *testing.T) {
	tests := map[model.Code]bool{
		model.CodeOverloaded: true, model.CodeSlotsFull: true, model.CodeConnectionsFull: true,
		model.CodeBehind: false, model.CodeNotPrimary: false, model.CodeStopping: false, model.CodeUnavailable: false, model.CodeDeadline: false,
	}
	for code, want := range tests {
		t.Run(string(code), func(t *testing.T) {
			if got := LacksRoom(code); got != want {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}

// TestAfter guards against callers that come back at once, never, or all at the same time.
func TestAfter(t *testing.T) {
	tests := map[string]struct {
		drain       time.Duration
		least, most time.Duration
	}{
		"an empty queue": {least: minAfter, most: minAfter * 3 / 2},
		"a queue":        {drain: time.Second, least: time.Second, most: 1500 * time.Millisecond},
		"a long queue":   {drain: time.Hour, least: maxAfter * 2 / 3, most: maxAfter},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for random, want := range map[float64]time.Duration{0: test.least, 0.5: (test.least + test.most) / 2, 1: test.most} {
				if got := After(test.drain, random); (got-want).Abs() > time.Microsecond || got > maxAfter {
					t.Errorf("got %v with %v, want %v", got, random, want)
				}
			}
		})
	}
}

func TestBudget(t *testing.T) {
	tests := map[string]struct {
		successes int
		elapsed   time.Duration
		want      int // retries allowed after the full budget has been used up
	}{
		"no successes":       {want: 0},
		"some successes":     {successes: 50, want: 6},
		"many successes":     {successes: 10000, want: defaultBurst},
		"a few seconds":      {elapsed: 3 * time.Second, want: 3},
		"an hour":            {elapsed: time.Hour, want: defaultBurst},
		"successes and time": {successes: 10, elapsed: time.Second, want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			budget := NewBudget()
			budget.PerSuccess = 0.125
			budget.Now = func() time.Time { return now }
			if got, want := drain(budget), defaultBurst; got != want {
				t.Fatalf("got %d retries from a full budget, want %d", got, want)
			}
			for range test.successes {
				budget.RecordSuccess()
			}
			now = now.Add(test.elapsed)
			if got := drain(budget); got != test.want {
				t.Errorf("got %d retries, want %d", got, test.want)
			}
		})
	}
}

// drain uses up the budget and returns the number of retries.
func drain(budget *Budget) int {
	taken := 0
	for budget.Take() {
		taken++
	}
	return taken
}

func TestBackoff(t *testing.T) {
	tests := map[string]struct {
		backoff  *Backoff
		maxDelay time.Duration // greatest delay
		attempts int           // greatest number in ten seconds
	}{
		"request":           {backoff: NewBackoff(), maxDelay: 2 * maxInterval, attempts: 60},
		"shared dependency": {backoff: NewSharedBackoff(), maxDelay: 2 * sharedMaxInterval, attempts: 30},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			attempts := 0
			for elapsed := time.Duration(0); elapsed < 10*time.Second; attempts++ {
				got := test.backoff.Next(0)
				if got <= 0 || got > test.maxDelay {
					t.Fatalf("got a delay of %v at attempt %d, want more than 0 and at most %v", got, attempts, test.maxDelay)
				}
				elapsed += got
			}
			if attempts > test.attempts {
				t.Errorf("got %d attempts in ten seconds, want at most %d", attempts, test.attempts)
			}
			if got, want := test.backoff.Next(time.Minute), time.Minute; got != want {
				t.Errorf("got a delay of %v, want the retry-after time of %v", got, want)
			}
		})
	}
}
