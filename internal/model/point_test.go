package model

import (
	"testing"

	"pgregory.net/rapid"
)

func TestRelate(t *testing.T) {
	timeline := Timeline{{Term: 2, Position: 40}, {Term: 3, Position: 80}, {Term: 6, Position: 100}}
	tests := map[string]struct {
		timeline      Timeline
		reached, want Point
		relation      Relation
	}{
		"zero point":               {timeline: timeline, reached: Point{Term: 3, Position: 90}, relation: Covered},
		"last position":            {timeline: timeline, reached: Point{Term: 6, Position: 120}, want: Point{Term: 6, Position: 120}, relation: Covered},
		"next position":            {timeline: timeline, reached: Point{Term: 6, Position: 120}, want: Point{Term: 6, Position: 121}, relation: Ahead},
		"later term":               {timeline: timeline, reached: Point{Term: 6, Position: 120}, want: Point{Term: 7, Position: 10}, relation: Ahead},
		"last of an older term":    {timeline: timeline, reached: Point{Term: 6, Position: 120}, want: Point{Term: 3, Position: 100}, relation: Covered},
		"past the end of its term": {timeline: timeline, reached: Point{Term: 6, Position: 120}, want: Point{Term: 3, Position: 101}, relation: Lost},
		"past the end of its term, two terms back": {timeline: timeline, reached: Point{Term: 6, Position: 120}, want: Point{Term: 2, Position: 90}, relation: Lost},
		"term that never wrote":                    {timeline: timeline, reached: Point{Term: 6, Position: 120}, want: Point{Term: 4, Position: 90}, relation: Lost},
		"before the first listed term":             {timeline: timeline, reached: Point{Term: 6, Position: 120}, want: Point{Term: 1, Position: 40}, relation: Covered},
		"before the first listed term, lost":       {timeline: timeline, reached: Point{Term: 6, Position: 120}, want: Point{Term: 1, Position: 41}, relation: Lost},
		"newer than the timeline":                  {timeline: timeline, reached: Point{Term: 8, Position: 120}, want: Point{Term: 8, Position: 110}, relation: Ahead},
		"empty timeline":                           {reached: Point{Term: 1, Position: 5}, want: Point{Term: 1, Position: 5}, relation: Covered},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.timeline.Relate(test.reached, test.want); got != test.relation {
				t.Errorf("got relation %d, want %d", got, test.relation)
			}
		})
	}
}

// termLog is the log as of one term: the term that wrote each position, and the log's timeline.
type termLog struct {
	terms    []Term
	timeline Timeline
}

// drawTermLogs draws the logs of several terms, each of which forks off an earlier one at some position.
func drawTermLogs(t *rapid.T) []termLog {
	logs := []termLog{{timeline: Timeline{{Term: 1}}}}
	count := rapid.IntRange(1, 6).Draw(t, "terms")
	for term := Term(1); term <= Term(count); term++ {
		log := logs[0]
		if term > 1 {
			parent := logs[rapid.IntRange(0, len(logs)-1).Draw(t, "parent")]
			log = forkLog(parent, term, rapid.IntRange(0, len(parent.terms)).Draw(t, "kept"))
		}
		for range rapid.IntRange(0, 4).Draw(t, "writes") {
			log.terms = append(log.terms, term)
		}
		if term == 1 {
			logs[0] = log
		} else {
			logs = append(logs, log)
		}
	}
	return logs
}

// forkLog returns the log of a new term that keeps the first positions of its parent.
func forkLog(parent termLog, term Term, kept int) termLog {
	log := termLog{terms: append([]Term(nil), parent.terms[:kept]...)}
	for _, start := range parent.timeline {
		if start.Position < Position(kept) || start.Term == 1 {
			log.timeline = append(log.timeline, start)
		}
	}
	log.timeline = append(log.timeline, Point{Term: term, Position: Position(kept)})
	return log
}

// TestRelateMatchesLogs compares Relate with the contents of randomly drawn logs.
func TestRelateMatchesLogs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		logs := drawTermLogs(t)
		log := logs[rapid.IntRange(0, len(logs)-1).Draw(t, "log")]
		other := logs[rapid.IntRange(0, len(logs)-1).Draw(t, "other")]
		if len(log.terms) == 0 || len(other.terms) == 0 {
			return
		}
		length := rapid.IntRange(1, len(log.terms)).Draw(t, "reached")
		reached := Point{Term: log.terms[length-1], Position: Position(length)}
		position := rapid.IntRange(1, len(other.terms)).Draw(t, "wanted")
		want := Point{Term: other.terms[position-1], Position: Position(position)}

		got := log.timeline.Relate(reached, want)
		inLog := position <= len(log.terms) && log.terms[position-1] == want.Term
		held := inLog && position <= length
		switch {
		case got == Covered && !held:
			t.Errorf("got Covered for %v and log %v up to %v, want another relation", want, log.terms, reached)
		case got != Covered && held:
			t.Errorf("got relation %d for %v and log %v, want Covered", got, want, log.terms)
		case got == Lost && inLog:
			t.Errorf("got Lost for %v and log %v, want Ahead", want, log.terms)
		case got == Ahead && !inLog && want.Term <= reached.Term:
			t.Errorf("got Ahead for %v and log %v up to %v, want Lost", want, log.terms, reached)
		}
	})
}
