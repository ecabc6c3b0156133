package upperbound

import (
	"slices"
	"time"

	"redwingspread/internal/model"
)

// Use is the demand for a resource and how much of it there is, as means over a time.
type Use struct {
	Resource Resource `json:"resource"`
	Demand   float64  `json:"demand"`
	Capacity float64  `json:"capacity"`
}

// share returns the demand as a share of the capacity; all of it counts as more than any share where there is no capacity.
func (u Use) share() float64 { return u.Demand / max(u.Capacity, tolerance) }

// Share is what can be answered of a kind at best.
type Share struct {
	Kind    model.KindID `json:"kind"`
	Arrived float64      `json:"arrived"` // operations
	InTime  float64      `json:"intime"`  // share of them
	Late    float64      `json:"late"`    // share of them, answered after the goal
}

// Result is the bound of a phase or of all phases.
type Result struct {
	Name       string   `json:"name"`
	Start      float64  `json:"start"`  // seconds
	Length     float64  `json:"length"` // seconds
	Uses       []Use    `json:"uses"`
	Bottleneck Resource `json:"bottleneck"` // the resource of which the demand is the greatest share
	Shares     []Share  `json:"shares"`
	Value      float64  `json:"value"` // share of the value of all operations in time
}

// Report holds the bounds of the phases, and of all of them together.
type Report struct {
	Phases []Result `json:"phases"`
	Total  Result   `json:"total"`
}

// Calculate returns the bounds of sizes that have been checked.
//
// The load of a phase counts as a steady flow, and work can wait until its goal, or its deadline, after the end of the phase, as if no work
// of the next phase needed the capacity then. Both make the bound an optimistic one.
func (s Sizes) Calculate() Report {
	var report Report
	for i := range s.Phases {
		report.Phases = append(report.Phases, s.phase(i))
	}
	report.Total = s.total(report.Phases)
	return report
}

// phase returns the bound of a phase.
func (s Sizes) phase(index int) Result {
	p := s.Phases[index]
	result := Result{Name: p.Name, Start: p.Start.Seconds(), Length: p.Length.Seconds()}
	for _, r := range resources {
		use := Use{Resource: r, Capacity: s.capacity(r, p)}
		for _, k := range s.Kinds {
			use.Demand += p.rate(k) * s.use(r, k).Seconds() * neededShare(r, k)
		}
		result.Uses = append(result.Uses, use)
	}
	result.Bottleneck = bottleneck(result.Uses)
	result.Shares = s.shares(index)
	result.Value = s.value(result.Shares)
	return result
}

// neededShare returns the share of a kind's operations that need a resource.
func neededShare(r Resource, k Kind) float64 {
	if r == PrimarySlots {
		return k.Writes
	}
	return 1
}

// bottleneck returns the resource of which the demand is the greatest share.
func bottleneck(uses []Use) Resource {
	most := Use{}
	for _, use := range uses {
		if most.Resource == "" || use.share() > most.share() {
			most = use
		}
	}
	return most.Resource
}

// part is a part of a kind's operations: its reads or writes, answered in time or late.
type part struct {
	kind   int
	writes bool
	late   bool
	due    time.Duration // goal or deadline
}

// parts returns the parts of all kinds. None is in time of a kind whose work takes longer than its goal.
func (s Sizes) parts() (parts []part) {
	for i, k := range s.Kinds {
		for _, writes := range []bool{false, true} {
			if k.Work+s.Trip <= k.Goal {
				parts = append(parts, part{kind: i, writes: writes, due: k.Goal})
			}
			if k.Work+s.Trip <= k.Deadline {
				parts = append(parts, part{kind: i, writes: writes, late: true, due: k.Deadline})
			}
		}
	}
	return parts
}

// shares returns the shares of the kinds that have the greatest value together.
func (s Sizes) shares(phase int) []Share {
	p, parts := s.Phases[phase], s.parts()
	gains := make([]float64, len(parts))
	for j, part := range parts {
		gains[j] = s.Kinds[part.kind].Value
		if part.late {
			gains[j] *= s.Kinds[part.kind].Late
		}
	}
	values := maximize(gains, append(s.arrivals(phase, parts), s.limits(phase, parts)...))
	shares := make([]Share, len(s.Kinds))
	for i, k := range s.Kinds {
		shares[i] = Share{Kind: k.Name, Arrived: p.rate(k) * p.Length.Seconds()}
	}
	for j, part := range parts {
		share := &shares[part.kind]
		answered := values[j] / max(share.Arrived, tolerance)
		if part.late {
			share.Late += answered
		} else {
			share.InTime += answered
		}
	}
	return shares
}

// arrivals returns the constraints that no more is answered than arrives.
func (s Sizes) arrivals(phase int, parts []part) (constraints []constraint) {
	p := s.Phases[phase]
	for i, k := range s.Kinds {
		for _, writes := range []bool{false, true} {
			c := constraint{weights: make([]float64, len(parts)), limit: p.rate(k) * p.Length.Seconds()}
			if writes {
				c.limit *= k.Writes
			} else {
				c.limit *= 1 - k.Writes
			}
			for j, part := range parts {
				if part.kind == i && part.writes == writes {
					c.weights[j] = 1
				}
			}
			constraints = append(constraints, c)
		}
	}
	return constraints
}

// limits returns the constraints that what is due by a time after the end of the phase fits into the capacity until then.
func (s Sizes) limits(phase int, parts []part) (constraints []constraint) {
	var dues []time.Duration
	for _, part := range parts {
		dues = append(dues, part.due)
	}
	slices.Sort(dues)
	for _, due := range slices.Compact(dues) {
		for _, r := range resources {
			c := constraint{weights: make([]float64, len(parts)), limit: s.capacityUntil(r, phase, due)}
			for j, part := range parts {
				if part.due <= due && (r != PrimarySlots || part.writes) {
					c.weights[j] = s.use(r, s.Kinds[part.kind]).Seconds()
				}
			}
			constraints = append(constraints, c)
		}
	}
	return constraints
}

// value returns the value of shares, as a share of that of all operations in time.
func (s Sizes) value(shares []Share) float64 {
	got, all := 0.0, 0.0
	for i, share := range shares {
		k := s.Kinds[i]
		got += share.Arrived * k.Value * (share.InTime + share.Late*k.Late)
		all += share.Arrived * k.Value
	}
	return got / max(all, tolerance)
}

// total adds up the phases.
func (s Sizes) total(phases []Result) Result {
	total := Result{Name: "total", Shares: make([]Share, len(s.Kinds))}
	for _, r := range resources {
		total.Uses = append(total.Uses, Use{Resource: r})
	}
	for i, k := range s.Kinds {
		total.Shares[i].Kind = k.Name
	}
	if len(phases) > 0 {
		total.Start = phases[0].Start
	}
	for _, phase := range phases {
		total.Length += phase.Length
		for i, use := range phase.Uses {
			total.Uses[i].Demand += use.Demand * phase.Length
			total.Uses[i].Capacity += use.Capacity * phase.Length
		}
		for i, share := range phase.Shares {
			total.Shares[i].Arrived += share.Arrived
			total.Shares[i].InTime += share.Arrived * share.InTime
			total.Shares[i].Late += share.Arrived * share.Late
		}
	}
	for i := range total.Uses {
		total.Uses[i].Demand /= max(total.Length, tolerance)
		total.Uses[i].Capacity /= max(total.Length, tolerance)
	}
	for i := range total.Shares {
		total.Shares[i].InTime /= max(total.Shares[i].Arrived, tolerance)
		total.Shares[i].Late /= max(total.Shares[i].Arrived, tolerance)
	}
	total.Bottleneck = bottleneck(total.Uses)
	total.Value = s.value(total.Shares)
	return total
}
