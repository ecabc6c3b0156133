package history

import (
	"slices"
	"testing"

	"redwingspread/internal/model"
)

// roster is the list of most tests.
var roster = Key{Database: "seats", Name: "roster"}

// list is what a read returned.
type list = []model.RequestID

// write returns an attempt to write that takes the two moments from the given one on.
func write(session model.SessionID, request model.RequestID, outcome Outcome, start LogicalTime) Attempt {
	return Attempt{
		Session: session, Request: request, Key: roster, Access: model.Write, Outcome: outcome,
		Durability: model.DurabilityReplica, Start: start, End: start + 1,
	}
}

// read returns a read that takes the two moments from the given one on.
func read(session model.SessionID, start LogicalTime, entries ...model.RequestID) Attempt {
	return Attempt{
		Session: session, Request: "r", Key: roster, Access: model.Read, Outcome: Done,
		Entries: entries, Start: start, End: start + 1,
	}
}

func TestCheck(t *testing.T) {
	unsafe := write("a", "w1", Done, 1)
	unsafe.Durability = model.DurabilityNone
	tests := map[string]struct {
		attempts []Attempt
		final    list
		want     []Guarantee
	}{
		"nothing": {},
		"all well": {
			attempts: []Attempt{write("a", "w1", Done, 1), read("a", 3, "w1"), write("b", "w2", Done, 5), read("a", 7, "w1", "w2")},
			final:    list{"w1", "w2"},
		},
		"another session may lag": {attempts: []Attempt{write("a", "w1", Done, 1), read("b", 3)}, final: list{"w1"}},
		"own write missing": {
			attempts: []Attempt{write("a", "w1", Done, 1), read("a", 3)},
			final:    list{"w1"}, want: []Guarantee{ReadYourWrites},
		},
		"read during the write": {
			attempts: []Attempt{write("a", "w1", Done, 1), read("a", 2)},
			final:    list{"w1"},
		},
		"read goes back": {
			attempts: []Attempt{write("a", "w1", Done, 1), read("b", 3, "w1"), read("b", 5)},
			final:    list{"w1"}, want: []Guarantee{MonotonicReads},
		},
		"read changes the past": {
			attempts: []Attempt{write("a", "w1", Done, 1), write("a", "w2", Done, 3), read("b", 5, "w1"), read("b", 7, "w2", "w1")},
			final:    list{"w1", "w2"}, want: []Guarantee{MonotonicReads},
		},
		"doubled at the end": {
			attempts: []Attempt{write("a", "w1", Done, 1)},
			final:    list{"w1", "w1"}, want: []Guarantee{AtMostOnce},
		},
		"doubled in a read": {
			attempts: []Attempt{write("a", "w1", Done, 1), read("b", 3, "w1", "w1")},
			final:    list{"w1"}, want: []Guarantee{AtMostOnce},
		},
		"refused and ran": {
			attempts: []Attempt{write("a", "w1", NotRun, 1)},
			final:    list{"w1"}, want: []Guarantee{NoEffect},
		},
		"failed and changed": {
			attempts: []Attempt{write("a", "w1", Failed, 1), read("b", 3, "w1")},
			want:     []Guarantee{NoEffect},
		},
		"refused, then done":     {attempts: []Attempt{write("a", "w1", NotRun, 1), write("a", "w1", Done, 3)}, final: list{"w1"}},
		"unknown and present":    {attempts: []Attempt{write("a", "w1", Unknown, 1)}, final: list{"w1"}},
		"unknown and absent":     {attempts: []Attempt{write("a", "w1", Unknown, 1)}},
		"acknowledged and lost":  {attempts: []Attempt{write("a", "w1", Done, 1)}, want: []Guarantee{Durable}},
		"lost, but nothing said": {attempts: []Attempt{unsafe}},
		"unknown, absent, then present": {
			attempts: []Attempt{write("a", "w1", Unknown, 1), read("a", 3), read("a", 5, "w1")},
			final:    list{"w1"}, want: []Guarantee{StableAbsence},
		},
		"unknown, absent, then repeated": {
			attempts: []Attempt{write("a", "w1", Unknown, 1), read("a", 3), write("a", "w1", Done, 5), read("a", 7, "w1")},
			final:    list{"w1"},
		},
		"nobody wrote it": {attempts: []Attempt{read("a", 1, "w9")}, final: list{"w9"}, want: []Guarantee{KnownWriter, KnownWriter}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []Guarantee
			for _, violation := range Check(test.attempts, FinalState{roster: test.final}) {
				got = append(got, violation.Guarantee)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got broken rules %v, want %v", got, test.want)
			}
		})
	}
}
