package placement

import (
	"time"

	"redwingspread/internal/model"
)

const (
	// noticedGain is the divisor for the part of its goal that a read must gain by leaving.
	noticedGain = 10
	// minGoal is the lower bound of a goal, so that a kind without one has no reads that are always late.
	minGoal = 100 * time.Millisecond
)

// Read is what the placement of a read depends on besides the instances.
type Read struct {
	Requirement
	Rank model.Rank
	Goal time.Duration // target duration of the operation
}

// Choice is where a statement goes and why.
type Choice struct {
	Index  int // of the candidate, or None
	Edge   Edge
	Reason Reason
	Spill  Change // of the share of reads that may leave
}

// Choose returns where a read goes.
//
// The instances behind edges without cost are the read's home. Among them the one that is expected to respond first is taken. The
// read leaves them when none can serve it, or when the caller notices the gain and the spill admits it. A nil spill admits every
// read and counts none.
func Choose(candidates []Candidate, read *Read, costs Costs, spill *Spill) Choice {
	if costs == (Costs{}) {
		return chosen(candidates, ChooseForRead(candidates, read.Requirement), read)
	}
	home, away := survey(candidates, read, costs)
	if home.index == None {
		return chosen(candidates, away.index, read)
	}
	goal := max(read.Goal, minGoal)
	reason := gainReason(home, away, goal)
	leaves, change := reason != ReasonStays, ChangeNone
	if spill != nil {
		leaves, change = spill.Admit(read.Now, read.Rank, pressure(home.answer, goal), leaves)
	}
	if leaves {
		return Choice{Index: away.index, Edge: candidates[away.index].Edge, Reason: reason, Spill: change}
	}
	choice := chosen(candidates, home.index, read)
	choice.Spill = change
	if reason != ReasonStays && choice.Edge == EdgeHome {
		choice.Reason = ReasonHeld
	}
	return choice
}

// ChoseOnly returns the choice of a candidate that is the only one to serve a statement.
func ChoseOnly(candidates []Candidate, index int) Choice {
	return Choice{Index: index, Edge: candidates[index].Edge, Reason: ReasonOnly}
}

// option is the best candidate of those at home, or of those elsewhere.
type option struct {
	index  int           // None when no candidate qualifies
	answer time.Duration // expected time to a response
	cost   time.Duration // of the edge to it
}

// consider replaces the option if the candidate is better.
func (o *option) consider(index int, answer, cost time.Duration) {
	if o.index == None || answer+cost < o.answer+o.cost {
		*o = option{index, answer, cost}
	}
}

// survey returns the best option at home, and elsewhere.
func survey(candidates []Candidate, read *Read, costs Costs) (home, away option) {
	home.index, away.index = None, None
	for i := range candidates {
		c := &candidates[i]
		if RuledOut(c, read.Requirement) != Qualifies {
			continue
		}
		best, edgeCost := &home, costs.Of(c.Edge)
		if edgeCost > 0 {
			best = &away
		}
		best.consider(i, Answer(c, read.Requirement), edgeCost)
	}
	return home, away
}

// Answer returns the expected time to a response, doubled on the primary, and with the chances that a replica is behind and that the
// instance fails the statement.
func Answer(c *Candidate, required Requirement) time.Duration {
	return cost(c) + behindCost(c, required) + failureCost(c)
}

// failureCost returns the expected time lost because the instance fails the statement, which then needs a further attempt.
func failureCost(c *Candidate) time.Duration {
	if c.Failure == 0 {
		return 0
	}
	return time.Duration(float64(c.Failure) * float64(c.RoundTrip+cost(c)))
}

// gainReason returns why a read leaves, or ReasonStays. A goal met only elsewhere justifies any crossing.
func gainReason(home, away option, goal time.Duration) Reason {
	if away.index == None {
		return ReasonStays
	}
	if home.answer > goal && away.answer <= goal {
		return ReasonLate
	}
	if gain := home.answer - away.answer; gain >= goal/noticedGain && gain > away.cost {
		return ReasonShare
	}
	return ReasonStays
}

// behindCost returns the expected time lost because a replica lacks the required point: a refusal and another try, weighted by the
// chance, which is one half for a point as old as the replica's lag and falls with the point's age.
func behindCost(c *Candidate, required Requirement) time.Duration {
	if c.Primary || c.Lag == 0 || c.Reached.Compare(required.MinPoint) >= 0 {
		return 0
	}
	retry := c.RoundTrip + cost(c)
	if age := required.Now.Sub(required.WrittenAt); required.WrittenAt != 0 && age > c.Lag {
		return time.Duration(float64(retry) * float64(c.Lag) / float64(2*age))
	}
	return retry / 2
}

// chosen returns the choice of a candidate that is taken for its expected time, or because none at home qualifies.
func chosen(candidates []Candidate, index int, read *Read) Choice {
	if index == None {
		return Choice{Index: None}
	}
	choice := Choice{Index: index, Edge: candidates[index].Edge}
	if choice.Edge != EdgeHome {
		choice.Reason = awayReason(candidates, read.Requirement)
	}
	return choice
}

// awayReason returns why a read goes to another data centre, by the state of the instances in its own.
func awayReason(candidates []Candidate, required Requirement) Reason {
	reason := ReasonOnly
	for i := range candidates {
		if candidates[i].Edge != EdgeHome {
			continue
		}
		switch RuledOut(&candidates[i], required) {
		case Qualifies:
			return ReasonSooner
		case IsBehind:
			if required.PointKnown {
				reason = ReasonBehind
			}
		}
	}
	return reason
}
