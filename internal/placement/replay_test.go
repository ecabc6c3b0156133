package placement

import (
	"math/rand/v2"
	"time"

	"redwingspread/internal/model"
)

const (
	replayStep    = 500 * time.Microsecond
	replayService = 20 * time.Millisecond // with 5 slots at an instance it has room for 250 reads a second
	replayRoom    = 250
	viewAge       = 50 * time.Millisecond // after which a host learns of the queues that others cause
	centreTrip    = 3 * time.Millisecond
)

// replay is a load pattern on two data centres of one region, each with one replica, and a primary in a third one.
type replay struct {
	seconds int
	rate    func(centre int, at time.Duration) [model.RankCount]float64 // reads a second by rank
	change  func(centre int, at time.Duration, candidates []Candidate)  // of what the host of a data centre knows; may be nil
	slow    func(at time.Duration) time.Duration                        // added to the way between the data centres; may be nil
}

// outcome is what a replay counted.
type outcome struct {
	reads, served, inTime, crossings, urgentCrossings, changes int
	answer                                                     time.Duration // mean time to an answer
}

// run replays the pattern with the costs. An instance is one queue; a read that would wait a quarter of its goal is refused and
// tries the next one, as at a host.
func (r replay) run(costs Costs) (o outcome) {
	random := rand.New(rand.NewPCG(1, 2))
	var queues [3]time.Duration // work waiting, in time
	var views [2][3]time.Duration
	var spills [2]Spill
	for at := time.Duration(0); at < time.Duration(r.seconds)*time.Second; at += replayStep {
		for i := range queues {
			queues[i] = max(queues[i]-replayStep, 0)
		}
		for centre := range spills {
			if at%viewAge == 0 {
				views[centre] = queues
			}
			for rank, rate := range r.rate(centre, at) {
				if random.Float64() < rate*replayStep.Seconds() {
					r.send(&o, costs, at, centre, rank, &queues, &views[centre], &spills[centre])
				}
			}
		}
	}
	return o
}

// send places one read and counts it.
func (r replay) send(o *outcome, costs Costs, at time.Duration, centre, rank int, queues, view *[3]time.Duration, spill *Spill) {
	goal := [model.RankCount]time.Duration{500 * time.Millisecond, time.Second, time.Second}[rank]
	trip := centreTrip
	if r.slow != nil {
		trip += r.slow(at)
	}
	candidates := make([]Candidate, len(queues))
	for i := range candidates {
		c := &candidates[i]
		*c = Candidate{Primary: i == 2, Edge: EdgeCentre, RoundTrip: trip, Reached: model.Point{Term: 1, Position: 10}}
		if i == centre {
			c.Edge, c.RoundTrip = EdgeHome, sameCentreRoundTrip
		}
		c.Expected = view[i] + replayService + c.RoundTrip
	}
	if r.change != nil {
		r.change(centre, at, candidates)
	}
	now := model.Instant(at + time.Hour)
	read := Read{Requirement{now, model.Point{Term: 1, Position: 10}, true, now.Add(-time.Second)}, model.Rank(rank + 1), goal}
	for o.reads++; ; {
		choice := Choose(candidates, &read, costs, spill)
		if choice.Spill != ChangeNone {
			o.changes++
		}
		if choice.Index == None {
			return
		}
		if queues[choice.Index] > goal/4 {
			candidates[choice.Index].Tried = true
			continue
		}
		answer := queues[choice.Index] + replayService + candidates[choice.Index].RoundTrip
		if answer <= goal {
			o.inTime++
		}
		o.served++
		o.answer += (answer - o.answer) / time.Duration(o.served)
		queues[choice.Index] += replayService / 5
		view[choice.Index] += replayService / 5
		if choice.Edge != EdgeHome {
			o.crossings++
			if rank == 0 {
				o.urgentCrossings++
			}
		}
		return
	}
}

// steady returns rates that are the given parts of an instance's room, in equal parts by rank.
func steady(parts ...float64) func(int, time.Duration) [model.RankCount]float64 {
	return func(centre int, _ time.Duration) [model.RankCount]float64 {
		rate := parts[centre] * replayRoom / model.RankCount
		return [model.RankCount]float64{rate, rate, rate}
	}
}

// between reports whether a time is in the given seconds.
func between(at time.Duration, from, to int) bool {
	return at >= time.Duration(from)*time.Second && at < time.Duration(to)*time.Second
}
