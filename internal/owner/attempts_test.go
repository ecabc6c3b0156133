package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/model"
)

func TestAttempts(t *testing.T) {
	const runTime = time.Second
	tests := map[string]struct {
		errors []error       // errors of the first runs in order; later runs succeed
		second time.Duration // time limit of the second attempt
		want   []string      // results of the first and the second attempt
		runs   int           // number of runs
	}{
		"second attempt shares the result":             {second: 2 * runTime, want: []string{"ran", "repeated"}, runs: 1},
		"second attempt runs after a refusal":          {errors: []error{model.Refuse(model.CodeDeadline, "x")}, second: 3 * runTime, want: []string{"deadline", "ran"}, runs: 2},
		"second attempt runs after an unknown outcome": {errors: []error{model.OutcomeUnknown("x")}, second: 3 * runTime, want: []string{"outcome_unknown", "ran"}, runs: 2},
		"second attempt times out":                     {second: runTime / 2, want: []string{"ran", "outcome_unknown"}, runs: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				inProgress := newAttempts()
				runs := 0
				attempt := func(limit time.Duration) string {
					ctx, cancel := context.WithTimeout(context.Background(), limit)
					defer cancel()
					result, err := inProgress.do(ctx, requestKey{database: "seats", request: "w"}, func() (model.Result, error) {
						time.Sleep(runTime)
						runs++
						if runs <= len(test.errors) {
							return model.Result{}, test.errors[runs-1]
						}
						return model.Result{}, nil
					})
					if err == nil && result.Repeated {
						return "repeated"
					}
					if err == nil {
						return "ran"
					}
					return string(model.CodeOf(err))
				}
				first := make(chan string, 1)
				go func() { first <- attempt(time.Hour) }()
				synctest.Wait()
				got := []string{"", attempt(test.second)}
				got[0] = <-first
				if got[0] != test.want[0] || got[1] != test.want[1] || runs != test.runs {
					t.Errorf("got %q after %d runs, want %q after %d", got, runs, test.want, test.runs)
				}
			})
		})
	}
}
