package ack

import (
	"testing"

	"redwingspread/internal/model"
)

// state returns the state of a replica.
func state(id string, term model.Term, point model.Point, timeline ...model.Point) model.InstanceState {
	return model.InstanceState{Instance: model.InstanceID(id), Term: term, Point: point, Timeline: timeline}
}

func TestTally(t *testing.T) {
	write := model.Point{Term: 5, Position: 30}
	starts := []model.Point{{Term: 4, Position: 10}, {Term: 5, Position: 20}}
	tests := map[string]struct {
		group      int
		point      model.Point
		states     []model.InstanceState
		row        model.Term
		want       model.Durability
		unproven   bool
		superseded bool
	}{
		"no evidence":                                       {group: 3, point: write, unproven: true},
		"one replica holds the write":                       {group: 3, point: write, states: []model.InstanceState{state("b", 5, write, starts...)}, want: model.DurabilityReplica},
		"one replica is past the write":                     {group: 3, point: write, states: []model.InstanceState{state("b", 5, model.Point{Term: 5, Position: 31}, starts...)}, want: model.DurabilityReplica},
		"one replica in the term without the write":         {group: 3, point: write, states: []model.InstanceState{state("b", 5, model.Point{Term: 5, Position: 29}, starts...)}, want: model.DurabilityPrimary},
		"one replica in a lower term":                       {group: 3, point: write, states: []model.InstanceState{state("b", 4, model.Point{Term: 4, Position: 40}, starts[0])}, want: model.DurabilityPrimary},
		"one replica fenced in a higher term":               {group: 3, point: write, states: []model.InstanceState{state("b", 6, write, starts...)}, unproven: true, superseded: true},
		"one fenced, the other holds the write":             {group: 3, point: write, states: []model.InstanceState{state("b", 6, write, starts...), state("c", 5, write, starts...)}, want: model.DurabilityReplica, superseded: true},
		"one fenced, the other in the term":                 {group: 3, point: write, states: []model.InstanceState{state("b", 6, write, starts...), state("c", 5, starts[1], starts...)}, want: model.DurabilityPrimary, superseded: true},
		"longer log on another branch":                      {group: 3, point: write, states: []model.InstanceState{state("b", 5, model.Point{Term: 4, Position: 50}, starts[0])}, want: model.DurabilityPrimary},
		"older write, held":                                 {group: 3, point: model.Point{Term: 4, Position: 15}, states: []model.InstanceState{state("b", 5, model.Point{Term: 5, Position: 20}, starts...)}, want: model.DurabilityReplica},
		"older write, missing on the replica":               {group: 3, point: model.Point{Term: 4, Position: 25}, states: []model.InstanceState{state("b", 5, model.Point{Term: 5, Position: 30}, starts...)}, want: model.DurabilityPrimary},
		"older write, replica fenced but not yet following": {group: 3, point: model.Point{Term: 4, Position: 15}, states: []model.InstanceState{state("b", 5, model.Point{Term: 4, Position: 40}, starts[0])}, want: model.DurabilityPrimary},
		"row in the term":                                   {group: 3, point: write, row: 5, want: model.DurabilityPrimary},
		"row in a higher term":                              {group: 3, point: write, row: 6, unproven: true},
		"one of five holds it":                              {group: 5, point: write, states: []model.InstanceState{state("b", 5, write, starts...)}, unproven: true},
		"two of five hold it":                               {group: 5, point: write, states: []model.InstanceState{state("b", 5, write, starts...), state("c", 5, write, starts...)}, want: model.DurabilityReplica},
		"same replica counted once":                         {group: 5, point: write, states: []model.InstanceState{state("b", 5, write, starts...), state("b", 5, write, starts...)}, unproven: true},
		"two of four hold it":                               {group: 4, point: write, states: []model.InstanceState{state("b", 5, write, starts...), state("c", 5, write, starts...)}, want: model.DurabilityReplica},
		"group of one":                                      {group: 1, point: write, want: model.DurabilityPrimary},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tally := &Tally{Term: 5, Point: test.point, GroupSize: test.group}
			for _, known := range test.states {
				tally.AddReplica(known)
			}
			if test.row > 0 {
				tally.AddRow(model.Ownership{Term: test.row})
			}
			got, ok := tally.Durability()
			if ok == test.unproven || ok && got != test.want {
				t.Errorf("got durability %s, proven %v, want %s, proven %v", got, ok, test.want, !test.unproven)
			}
			if got := tally.Superseded(); got != test.superseded {
				t.Errorf("got superseded %v, want %v", got, test.superseded)
			}
		})
	}
}
