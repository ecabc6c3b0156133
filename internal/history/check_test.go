package history

import (
	"slices"
	"testing"

	"redwingspread/internal/model"
)

// roster is the list that the tests read and write.
var roster = ListKey{Database: "seats", Name: "roster"}

// list is the content of a list.
type list = []model.RequestID

// write returns an attempt to write that lasts from start to start+1.
func write(session model.SessionID, request model.RequestID, outcome Outcome, start LogicalTime) Attempt {
	return Attempt{
		Session: session, Request: request, List: roster, Access: model.Write, Outcome: outcome,
		Durability: model.DurabilityReplica, Start: start, End: start + 1,
	}
}

// read returns a successful read that lasts from start to start+1.
func read(session model.SessionID, start LogicalTime, entries ...model.RequestID) Attempt {
	return Attempt{
		Session: session, Request: "r", List: roster, Access: model.Read, Outcome: Done,
		Entries: entries, Start: start, End: start + 1,
	}
}

func TestCheck(t *testing.T) {
	unreplicated := write("a", "w1", Done, 1)
	unreplicated.Durability = model.DurabilityNone
	tests := map[string]struct {
		attempts []Attempt
		final    list
		want     []Guarantee
	}{
		"empty history": {},
		"no violation": {
			attempts: []Attempt{write("a", "w1", Done, 1), read("a", 3, "w1"), write("b", "w2", Done, 5), read("a", 7, "w1", "w2")},
			final:    list{"w1", "w2"},
		},
		"read of another session lags": {attempts: []Attempt{write("a", "w1", Done, 1), read("b", 3)}, final: list{"w1"}},
		"own write missing": {
			attempts: []Attempt{write("a", "w1", Done, 1), read("a", 3)},
			final:    list{"w1"}, want: []Guarantee{ReadYourWrites},
		},
		"read concurrent with the write": {
			attempts: []Attempt{write("a", "w1", Done, 1), read("a", 2)},
			final:    list{"w1"},
		},
		"later read misses an entry": {
			attempts: []Attempt{write("a", "w1", Done, 1), read("b", 3, "w1"), read("b", 5)},
			final:    list{"w1"}, want: []Guarantee{MonotonicReads},
		},
		"later read has another order": {
			attempts: []Attempt{write("a", "w1", Done, 1), write("a", "w2", Done, 3), read("b", 5, "w1"), read("b", 7, "w2", "w1")},
			final:    list{"w1", "w2"}, want: []Guarantee{MonotonicReads},
		},
		"duplicate in the final list": {
			attempts: []Attempt{write("a", "w1", Done, 1)},
			final:    list{"w1", "w1"}, want: []Guarantee{AtMostOnce},
		},
		"duplicate in a read": {
			attempts: []Attempt{write("a", "w1", Done, 1), read("b", 3, "w1", "w1")},
			final:    list{"w1"}, want: []Guarantee{AtMostOnce},
		},
		"refused write is present": {
			attempts: []Attempt{write("a", "w1", NotRun, 1)},
			final:    list{"w1"}, want: []Guarantee{NoEffect},
		},
		"failed write is present": {
			attempts: []Attempt{write("a", "w1", Failed, 1), read("b", 3, "w1")},
			want:     []Guarantee{NoEffect},
		},
		"refused, then retried":      {attempts: []Attempt{write("a", "w1", NotRun, 1), write("a", "w1", Done, 3)}, final: list{"w1"}},
		"unknown write is present":   {attempts: []Attempt{write("a", "w1", Unknown, 1)}, final: list{"w1"}},
		"unknown write is absent":    {attempts: []Attempt{write("a", "w1", Unknown, 1)}},
		"replicated write is lost":   {attempts: []Attempt{write("a", "w1", Done, 1)}, want: []Guarantee{Durable}},
		"unreplicated write is lost": {attempts: []Attempt{unreplicated}},
		"unknown, absent, then present": {
			attempts: []Attempt{write("a", "w1", Unknown, 1), read("a", 3), read("a", 5, "w1")},
			final:    list{"w1"}, want: []Guarantee{StableAbsence},
		},
		"unknown, absent, then retried": {
			attempts: []Attempt{write("a", "w1", Unknown, 1), read("a", 3), write("a", "w1", Done, 5), read("a", 7, "w1")},
			final:    list{"w1"},
		},
		"entry without a writer": {attempts: []Attempt{read("a", 1, "w9")}, final: list{"w9"}, want: []Guarantee{KnownWriter, KnownWriter}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []Guarantee
			for _, violation := range Check(test.attempts, FinalState{roster: test.final}) {
				got = append(got, violation.Guarantee)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got violations of %v, want %v", got, test.want)
			}
		})
	}
}
