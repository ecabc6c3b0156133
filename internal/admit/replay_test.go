package admit

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/retry"
)

const (
	replaySlots    = 5
	replayTime     = 12 * time.Second
	replayDeadline = 3 * time.Second
	callerRetries  = 2 // through other hosts, after an answer that says that nothing ran
)

// replayRank is the work of one rank at one instance: the route profiles, an eighth of whose databases' load is at one instance.
type replayRank struct {
	rate     float64 // operations a second
	mean     time.Duration
	goal     time.Duration
	deadline time.Duration
}

var replayRanks = [model.RankCount]replayRank{
	{rate: 24, mean: 6800 * time.Microsecond, goal: 500 * time.Millisecond, deadline: replayDeadline},
	{rate: 24, mean: 34 * time.Millisecond, goal: time.Second, deadline: 2 * replayDeadline},
	{rate: 113, mean: 20 * time.Millisecond, goal: time.Second, deadline: replayDeadline},
}

// scenario is a load on some instances.
type scenario struct {
	instances int
	elsewhere bool                                         // any instance serves any operation; otherwise the first one does
	factor    func(instance int, at time.Duration) float64 // of the usual rate
	atOnce    float64                                      // seconds of usual operations that arrive at the start
}

// decision is a rule for the wait and the delay of callers.
type decision struct {
	until func(Start) time.Duration
	after func(drain time.Duration, random float64) time.Duration
}

// result is what a replay counted. Shares are of the operations, but for those of rejections, which are of the attempts at a host.
type result struct {
	operations, inTime, late   int
	attempts, rejected, atOnce int
	rejectedWait               time.Duration // in total
}

// share returns a part of the operations.
func (r *result) share(part int) float64 { return float64(part) / float64(max(r.operations, 1)) }

// shareAtOnce returns the part of the attempts that are rejected without a wait.
func (r *result) shareAtOnce() float64 { return float64(r.atOnce) / float64(max(r.attempts, 1)) }

// meanRejectedWait returns how long rejected attempts waited.
func (r *result) meanRejectedWait() time.Duration {
	return r.rejectedWait / time.Duration(max(r.rejected, 1))
}

// replayOperation is one operation of a caller.
type replayOperation struct {
	rank     model.Rank
	instance int // at which it has to run if none other would do
	work     time.Duration
	first    time.Duration // arrival of the first attempt
	retries  int
	arrived  time.Duration // of the newest attempt at a host
	tried    uint          // instances, as bits
	at       int           // instance of the newest attempt
	ticket   Ticket[*replayOperation]
	waits    int // number of the newest wait; an end of an earlier one is ignored
}

// replayEvent is something that happens at a moment; events of one moment happen in the order in which they were added.
type replayEvent struct {
	at    time.Duration
	order int
	do    func()
}

// replayEvents is a heap of events.
type replayEvents []replayEvent

func (e replayEvents) Len() int { return len(e) }
func (e replayEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e replayEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)   { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replay plays a scenario under a decision, with a host's queues and no network.
type replay struct {
	scenario
	decision
	now     time.Duration
	events  replayEvents
	order   int
	random  *rand.Rand
	queues  []*Queue[*replayOperation]
	running []int
	result  result
}

// run plays the scenario.
func (s scenario) run(d decision) result {
	r := &replay{scenario: s, decision: d, random: rand.New(rand.NewPCG(7, 11)), running: make([]int, s.instances)}
	arrivals := rand.New(rand.NewPCG(1, 2)) // the same for every decision
	for i := range s.instances {
		policy := NewFairShare[*replayOperation]()
		policy.SetFloors([model.RankCount]model.Percent{0, 10, 10})
		r.queues = append(r.queues, &Queue[*replayOperation]{Policy: policy, Limit: 256, ServiceTimes: NewServiceTimes()})
		for rank, load := range replayRanks {
			arrive := func(at time.Duration) {
				o := &replayOperation{rank: model.Rank(rank + 1), instance: i, first: at, work: time.Duration(arrivals.ExpFloat64() * float64(load.mean))}
				r.at(at, func() { r.arrive(o) })
			}
			for range int(s.atOnce * load.rate) {
				arrive(0)
			}
			for at := time.Duration(0); at < replayTime; {
				at += time.Duration(arrivals.ExpFloat64() / (load.rate * s.factor(i, at)) * float64(time.Second))
				arrive(at)
			}
		}
	}
	for len(r.events) > 0 {
		event := heap.Pop(&r.events).(replayEvent)
		r.now = event.at
		event.do()
	}
	return r.result
}

// at adds an event.
func (r *replay) at(at time.Duration, do func()) {
	r.order++
	heap.Push(&r.events, replayEvent{at: at, order: r.order, do: do})
}

// time returns the current time as the queue has it.
func (r *replay) time() time.Time { return startTime.Add(r.now) }

// expected returns the expected wait and service time at an instance.
func (r *replay) expected(instance int, kind model.KindID) (wait, service time.Duration) {
	q := r.queues[instance]
	if ahead := q.Len() + max(r.running[instance]-replaySlots+1, 0); ahead > 0 {
		wait = time.Duration(ahead) * q.ServiceTimes.Mean(r.time()) / replaySlots
	}
	return wait, q.ServiceTimes.Expected(r.time(), kind)
}

// kindOf returns the kind of work of a rank.
func kindOf(rank model.Rank) model.KindID { return model.KindID(rune('0' + rank)) }

// arrive begins an attempt at a host.
func (r *replay) arrive(o *replayOperation) {
	if o.retries == 0 {
		r.result.operations++
	}
	r.result.attempts++
	o.arrived, o.tried = r.now, 0
	r.place(o, r.now)
}

// place offers an operation to the instance at which the answer is expected soonest, of those that have not rejected it.
func (r *replay) place(o *replayOperation, arrived time.Duration) {
	best := -1
	for i := range r.queues {
		if o.tried&(1<<i) != 0 || (!r.elsewhere && i != o.instance) {
			continue
		}
		if best < 0 || r.latency(i, o) < r.latency(best, o) {
			best = i
		}
	}
	load := replayRanks[o.rank.Index()]
	start := Start{Waited: r.now - arrived, Goal: load.goal, Deadline: load.deadline, Elsewhere: r.elsewhere}
	if best < 0 || (o.tried != 0 && r.now >= arrived+r.until(start)) {
		r.reject(o)
		return
	}
	o.at, o.tried = best, o.tried|1<<best
	o.waits++
	start.Expected, start.Service = r.expected(best, kindOf(o.rank))
	o.ticket = Ticket[*replayOperation]{Class: Class{Rank: o.rank, Kind: kindOf(o.rank), Session: model.SessionID(rune(r.order))}, Value: o}
	until := arrived + r.until(start)
	o.ticket.Deadline = startTime.Add(until + start.Service)
	verdict, evicted, _ := r.queues[best].Offer(r.time(), &o.ticket)
	if verdict == Wait {
		wait := o.waits
		r.at(max(until+start.Service, r.now), func() {
			if o.waits == wait && r.queues[best].Withdraw(r.time(), &o.ticket) {
				r.place(o, arrived)
			}
		})
		r.serve(best)
	} else {
		r.place(o, arrived)
	}
	if evicted != nil {
		r.place(evicted.Value, evicted.Value.arrived)
	}
}

// latency returns the expected time to an answer at an instance.
func (r *replay) latency(instance int, o *replayOperation) time.Duration {
	wait, service := r.expected(instance, kindOf(o.rank))
	return wait + service
}

// serve starts waiting operations while slots are free.
func (r *replay) serve(instance int) {
	for q := r.queues[instance]; r.running[instance] < replaySlots; {
		ticket, verdict := q.Next(r.time(), EligibleAny)
		if ticket == nil {
			return
		}
		o := ticket.Value
		if verdict == Late {
			r.place(o, o.arrived)
			continue
		}
		r.running[instance]++
		r.at(r.now+o.work, func() {
			r.running[instance]--
			q.Finish(r.time(), &o.ticket, o.work)
			load := replayRanks[o.rank.Index()]
			if took := r.now - o.first; took <= load.goal {
				r.result.inTime++
			} else if took <= load.deadline {
				r.result.late++
			}
			r.serve(instance)
		})
	}
}

// reject rejects an attempt; the caller comes back after the advised time, if that is before its deadline.
func (r *replay) reject(o *replayOperation) {
	waited := r.now - o.arrived
	r.result.rejected++
	r.result.rejectedWait += waited
	if waited == 0 {
		r.result.atOnce++
	}
	back := r.now + r.after(r.queues[o.at].RetryAfter(r.time(), replaySlots), r.random.Float64())
	if o.retries++; o.retries <= callerRetries && back < o.first+replayRanks[o.rank.Index()].deadline {
		r.at(back, func() { r.arrive(o) })
	}
}

// quarter is the former rule: a quarter of the goal, at least 60 ms, and the expected wait on top. Callers come back after the time in
// which the queue drains, all at once.
var quarter = decision{
	until: func(s Start) time.Duration { return min(max(s.Goal/4, 60*time.Millisecond), s.Deadline) + s.Expected },
	after: func(drain time.Duration, _ float64) time.Duration { return drain },
}

// steady is the usual rate at all times.
func steady(int, time.Duration) float64 { return 1 }

// scenarios are the loads under which a host has to turn work away.
var scenarios = map[string]scenario{
	"burst at all instances": {instances: 3, elsewhere: true, factor: func(_ int, at time.Duration) float64 {
		if at >= 2*time.Second && at < 8*time.Second {
			return 2.4
		}
		return 1
	}},
	"bursts in turn": {instances: 3, elsewhere: true, factor: func(i int, at time.Duration) float64 {
		if int(at/(2*time.Second))%3 == i {
			return 2.4
		}
		return 1.3
	}},
	"reads on the primary": {instances: 1, factor: func(_ int, at time.Duration) float64 {
		if at >= 2*time.Second && at < 6*time.Second {
			return 2
		}
		return 1
	}},
	"all callers return": {instances: 3, elsewhere: true, factor: steady, atOnce: 4},
}

// TestReplay guards against a default that decides otherwise than the former rule, and against parameters or a jitter for which more
// answers are late, or fewer in time, than under that rule, or for which callers wait longer for a rejection.
func TestReplay(t *testing.T) {
	limit := NewStartLimit()
	noExtension := limit
	noExtension.ExpectedShare = 0
	tests := map[string]struct {
		limit StartLimit
		share float64 // of the operations that may be in time less, or late more; callers come back later with the jitter
		wait  float64 // of a rejected attempt, as a share of the former one
	}{
		"default":      {limit: limit, share: 0.05, wait: 2}, // the most is 0.043 when all callers return
		"no extension": {limit: noExtension, share: 0.01, wait: 1},
	}
	for name, s := range scenarios {
		today := s.run(quarter)
		if got := s.run(decision{limit.Until, quarter.after}); got != today {
			t.Errorf("%s: got %+v with the default, want %+v as with the former rule", name, got, today)
		}
		for parameters, test := range tests {
			t.Run(name+", "+parameters, func(t *testing.T) {
				got := s.run(decision{test.limit.Until, retry.After})
				t.Logf("in time %.3f (%.3f), late %.3f (%.3f), rejected at once %.3f (%.3f), wait of the rejected %v (%v)",
					got.share(got.inTime), today.share(today.inTime), got.share(got.late), today.share(today.late),
					got.shareAtOnce(), today.shareAtOnce(), got.meanRejectedWait(), today.meanRejectedWait())
				if lost := today.share(today.inTime - got.inTime); lost > test.share {
					t.Errorf("got %.3f of the answers in time no more, want at most %.3f", lost, test.share)
				}
				if more := today.share(got.late - today.late); more > test.share {
					t.Errorf("got %.3f of the answers late in addition, want at most %.3f", more, test.share)
				}
				if longest := share(today.meanRejectedWait(), test.wait); got.meanRejectedWait() > longest {
					t.Errorf("got rejections after %v, want them within %v", got.meanRejectedWait(), longest)
				}
			})
		}
	}
}
