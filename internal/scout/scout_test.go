package scout

import (
	"fmt"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// at returns the time after some milliseconds.
func at(ms int) model.Instant { return model.Instant(time.Duration(ms) * time.Millisecond) }

// newState returns the state of a host in the data centre.
func newState(id model.HostID) *State {
	s := New()
	s.Self = Host{ID: id, DataCentre: "east"}
	return s
}

// TestAnswer checks that a proof counts from a question that reached the scout before the primary was asked.
func TestAnswer(t *testing.T) {
	tests := map[string]struct {
		questions [][2]int // stamp on the asker's clock, and arrival
		provedAt  int      // when the scout sent the statement that proves the position
		want      int      // date of the proof on the asker's clock; zero for none
	}{
		"no question":                   {provedAt: 100},
		"question before the proof":     {questions: [][2]int{{1050, 50}}, provedAt: 100, want: 1050},
		"question at the same moment":   {questions: [][2]int{{1100, 100}}, provedAt: 100, want: 1100},
		"question after the proof":      {questions: [][2]int{{1050, 150}}, provedAt: 100},
		"the newest of several":         {questions: [][2]int{{1010, 10}, {1050, 60}, {1090, 110}}, provedAt: 100, want: 1050},
		"a late question is the oldest": {questions: [][2]int{{1050, 60}, {1010, 90}}, provedAt: 100, want: 1050},
		"a question that was held up":   {questions: [][2]int{{1050, 99}}, provedAt: 100, want: 1050},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newState("scout")
			for _, q := range test.questions {
				s.Asked(at(q[1]), "asker", at(q[0]))
			}
			s.Record(Proof{Database: "seats", Instance: "i", Point: model.Point{Term: 1, Position: 7}, SentAt: at(test.provedAt)})
			got := 0
			for _, proof := range s.Answer("asker") {
				got = int(time.Duration(proof.SentAt) / time.Millisecond)
			}
			if got != test.want {
				t.Errorf("got a proof dated %d, want %d", got, test.want)
			}
		})
	}
}

// TestChoose checks that the hosts of a data centre agree on their scout, and that one that doesn't answer is passed over.
func TestChoose(t *testing.T) {
	var live []Host
	for i := range 40 {
		live = append(live, Host{ID: model.HostID(fmt.Sprintf("h%02d", i)), DataCentre: model.DataCentreID([]string{"east", "west"}[i%2])})
	}
	scouts := make(map[model.DataCentreID]map[model.HostID]int)
	for _, host := range live {
		s := New()
		s.Self = host
		chosen := s.Choose(at(1000), live)
		if chosen == "" {
			chosen = host.ID
		}
		if scouts[host.DataCentre] == nil {
			scouts[host.DataCentre] = make(map[model.HostID]int)
		}
		scouts[host.DataCentre][chosen]++
	}
	for centre, chosen := range scouts {
		if len(chosen) != 1 {
			t.Errorf("got scouts %v in %s, want one", chosen, centre)
		}
	}
	s := newState("h00")
	first := s.Choose(at(1000), live)
	for ms := 1300; ms <= 2800; ms += 300 {
		s.Choose(at(ms), live)
	}
	if second := s.scout; second == first || second == "" {
		t.Errorf("got scout %q after %q was silent, want another one", second, first)
	}
	second := s.scout
	for ms := 3000; ms <= 13_000; ms += 100 {
		s.Choose(at(ms), live)
		s.Answered(at(ms), second, nil)
	}
	if got := s.scout; got != first {
		t.Errorf("got scout %q, want %q again after its exclusion", got, first)
	}
}

func TestProbes(t *testing.T) {
	live := []Host{{ID: "a", DataCentre: "east"}, {ID: "b", DataCentre: "east"}}
	a, b := newState("a"), newState("b")
	a.Choose(at(1000), live)
	b.Choose(at(1000), live)
	if got := a.Probes(at(1000)) != b.Probes(at(1000)); !got {
		t.Error("got both or none of two hosts that probe, want one")
	}
	idle := a
	if a.Probes(at(1000)) {
		idle = b
	}
	idle.Asked(at(1100), "c", at(5))
	if !idle.Probes(at(1200)) || idle.Probes(at(9000)) {
		t.Error("got no probes after a question, or some long after it")
	}
	if got := len(idle.Answered(at(1200), "a", []Proof{{Database: "seats", SentAt: at(90_000)}})); got != 0 {
		t.Errorf("got %d proofs dated in the future, want none", got)
	}
}
