package ack

import (
	"testing"

	"redwingspread/internal/model"
)

// state returns a replica's state.
func state(id string, term model.Term, point model.Point, timeline ...model.Point) model.InstanceState {
	return model.InstanceState{Instance: model.InstanceID(id), Term: term, Point: point, Timeline: timeline}
}

func TestTally(t *testing.T) {
	write := model.Point{Term: 5, Position: 30}
	starts := []model.Point{{Term: 4, Position: 10}, {Term: 5, Position: 20}}
	tests := map[string]struct {
		group    int
		point    model.Point
		states   []model.InstanceState
		row      model.Term
		want     model.Durability
		nothing  bool
		replaced bool
	}{
		"nothing known":                         {group: 3, point: write, nothing: true},
		"a replica holds it":                    {group: 3, point: write, states: []model.InstanceState{state("b", 5, write, starts...)}, want: model.DurabilityReplica},
		"a replica is past it":                  {group: 3, point: write, states: []model.InstanceState{state("b", 5, model.Point{Term: 5, Position: 31}, starts...)}, want: model.DurabilityReplica},
		"a replica in the term lacks it":        {group: 3, point: write, states: []model.InstanceState{state("b", 5, model.Point{Term: 5, Position: 29}, starts...)}, want: model.DurabilityPrimary},
		"a replica is still in a lower term":    {group: 3, point: write, states: []model.InstanceState{state("b", 4, model.Point{Term: 4, Position: 40}, starts[0])}, want: model.DurabilityPrimary},
		"a replica is fenced in a higher term":  {group: 3, point: write, states: []model.InstanceState{state("b", 6, write, starts...)}, nothing: true, replaced: true},
		"one is fenced, the other holds it":     {group: 3, point: write, states: []model.InstanceState{state("b", 6, write, starts...), state("c", 5, write, starts...)}, want: model.DurabilityReplica, replaced: true},
		"one is fenced, the other a witness":    {group: 3, point: write, states: []model.InstanceState{state("b", 6, write, starts...), state("c", 5, starts[1], starts...)}, want: model.DurabilityPrimary, replaced: true},
		"a longer log of another branch":        {group: 3, point: write, states: []model.InstanceState{state("b", 5, model.Point{Term: 4, Position: 50}, starts[0])}, want: model.DurabilityPrimary},
		"an older write, held":                  {group: 3, point: model.Point{Term: 4, Position: 15}, states: []model.InstanceState{state("b", 5, model.Point{Term: 5, Position: 20}, starts...)}, want: model.DurabilityReplica},
		"an older write, lost there":            {group: 3, point: model.Point{Term: 4, Position: 25}, states: []model.InstanceState{state("b", 5, model.Point{Term: 5, Position: 30}, starts...)}, want: model.DurabilityPrimary},
		"an older write, fenced but not copied": {group: 3, point: model.Point{Term: 4, Position: 15}, states: []model.InstanceState{state("b", 5, model.Point{Term: 4, Position: 40}, starts[0])}, want: model.DurabilityPrimary},
		"the row is in the term":                {group: 3, point: write, row: 5, want: model.DurabilityPrimary},
		"the row is in a higher term":           {group: 3, point: write, row: 6, nothing: true},
		"one of five is not enough":             {group: 5, point: write, states: []model.InstanceState{state("b", 5, write, starts...)}, nothing: true},
		"two of five hold it":                   {group: 5, point: write, states: []model.InstanceState{state("b", 5, write, starts...), state("c", 5, write, starts...)}, want: model.DurabilityReplica},
		"the same one twice is one":             {group: 5, point: write, states: []model.InstanceState{state("b", 5, write, starts...), state("b", 5, write, starts...)}, nothing: true},
		"two of four hold it":                   {group: 4, point: write, states: []model.InstanceState{state("b", 5, write, starts...), state("c", 5, write, starts...)}, want: model.DurabilityReplica},
		"a group of one":                        {group: 1, point: write, want: model.DurabilityPrimary},
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
			if ok == test.nothing || ok && got != test.want {
				t.Errorf("got durability %s proved %v, want %s proved %v", got, ok, test.want, !test.nothing)
			}
			if got := tally.Superseded(); got != test.replaced {
				t.Errorf("got replaced %v, want %v", got, test.replaced)
			}
		})
	}
}
