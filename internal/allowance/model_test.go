package allowance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"redwingspread/internal/model"
)

// mutant is the loss of one guard, which the model has to find.
type mutant string

const (
	none              mutant = ""
	newPartsFull      mutant = "a new part begins full"
	noExpiry          mutant = "tokens don't expire"
	countsDuplicates  mutant = "a duplicate answer counts"
	noLapse           mutant = "a host cut off for long grants"
	fullAfterLapse    mutant = "a host that was cut off for long keeps its tokens"
	keptByLive        mutant = "parts of hosts that aren't heard are taken over"
	allCovered        mutant = "all tenants count as covered"
	keptByOne         mutant = "all parts are kept by one host"
	validFromArrival  mutant = "validity counts from the arrival"
	ignoresLowerLimit mutant = "buckets keep their tokens when the limit falls"
)

const (
	tenantID       model.TenantID = "t"
	modelStep                     = 2 * time.Millisecond
	opWait                        = 3 * time.Second       // from the arrival of an operation to its deadline
	patience                      = 16 * time.Millisecond // of callers that leave
	modelRetention                = 6 * time.Second       // of the rows of silent hosts
)

// tolerance is the tolerance of the rule.
var tolerance = Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

// scenario is a course of events that the model plays.
type scenario struct {
	hosts   int
	limit   Limit
	demand  func(at time.Duration) float64 // operations a second of the whole fleet
	leave   time.Duration                  // until then, callers leave whose operations wait for longer than patience
	away    bool                           // operations arrive only at hosts that keep no part
	length  time.Duration
	lost    float64 // share of the datagrams
	doubled float64
	late    float64                    // by up to 400 ms
	retains time.Duration              // instead of modelRetention
	clients func(w *world, i int) bool // where operations arrive; at all hosts by default
	joins   int                        // the first hosts in the tenant's order that start with the event join
	events  events
	random  func(*world, time.Duration)          // called at every step
	delay   func(at time.Duration) time.Duration // of answers, on top of the network's
}

// datagram is a question or an answer on its way.
type datagram struct {
	at       model.Instant
	from, to int
	question *Question
	answer   *Answer
}

// node is a host of the model.
type node struct {
	host    Host
	book    *Book[int]
	boot    time.Duration   // its clock is ahead of the model's by this
	upAt    model.Instant   // it is down or suspended before
	ended   bool            // it begins a new life then
	heardAt []model.Instant // when it heard each host last
	dead    []time.Duration // for how long it takes each silent host for live
	rows    []bool          // that it has read from the store
	started model.Instant
	offline bool // it doesn't reach the store
	flights map[model.Sequence]*question
}

// world is the state of the model.
type world struct {
	scenario
	mutant  mutant
	random  *rand.Rand
	now     model.Instant
	nodes   []*node
	sent    []datagram
	order   []int // the hosts in the tenant's hash order
	left    []*Waiter[int]
	rows    []bool          // of hosts, in the store
	heardAt []model.Instant // when a host that reaches the store heard each host last
	cut     [][]bool        // links that lose everything
	limits  []Limit         // that were in force, and from when they bind
	binds   []model.Instant
	spent   []model.Instant
	asked   int
	refused [model.RankCount]int
	owed    float64 // operations that have not arrived yet
}

// newWorld returns the model of a scenario.
func newWorld(s scenario, m mutant, seed uint64) *world {
	w := &world{scenario: s, mutant: m, random: rand.New(rand.NewPCG(seed, 3)), now: model.Instant(time.Hour)}
	w.limits, w.binds = []Limit{s.limit}, []model.Instant{0}
	if w.retains == 0 {
		w.retains = modelRetention
	}
	w.rows, w.heardAt = make([]bool, s.hosts), make([]model.Instant, s.hosts)
	var hosts []Host
	for i := range s.hosts {
		centre := fmt.Sprint("c", i%6)
		w.nodes = append(w.nodes, &node{
			host:    Host{ID: model.HostID(fmt.Sprint("h", i)), DataCentre: model.DataCentreID(centre), Region: model.RegionID(fmt.Sprint("r", i%3))},
			boot:    time.Duration(w.random.IntN(1000)) * time.Second,
			heardAt: make([]model.Instant, s.hosts),
			dead:    make([]time.Duration, s.hosts),
		})
		w.cut = append(w.cut, make([]bool, s.hosts))
		hosts = append(hosts, w.nodes[i].host)
	}
	for _, h := range hashOrder(tenantID, hosts) {
		w.order = append(w.order, slices.Index(hosts, h))
	}
	for _, i := range w.order[s.joins:] {
		w.rows[i] = true
	}
	for i := range w.nodes {
		if w.start(i); !w.rows[i] {
			w.nodes[i].upAt, w.nodes[i].ended = math.MaxInt64, true
		}
	}
	return w
}

// start gives a host a new life, in which it hears the others from now on.
func (w *world) start(i int) {
	n := w.nodes[i]
	n.book = New[int](n.host, model.Incarnation(w.now), n.clock(w))
	n.book.lapse = w.retains - 4*time.Second // hosts count as live for up to 3.5 s of silence
	if w.mutant == noLapse {
		n.book.lapse = time.Hour
	}
	n.started, n.rows = w.now, slices.Clone(w.rows)
	n.book.Tolerance = tolerance
	n.flights = make(map[model.Sequence]*question)
	clear(n.heardAt)
	w.limitOf(n, w.limits[len(w.limits)-1])
	w.hear(i)
}

// clock returns the time on a host's clock.
func (n *node) clock(w *world) model.Instant { return w.now.Add(n.boot) }

// up reports whether a host runs.
func (w *world) up(i int) bool { return w.now >= w.nodes[i].upAt }

// hear gives a host its view of the membership.
func (w *world) hear(i int) {
	n := w.nodes[i]
	w.readRows(i)
	var live, all []Host
	for j, other := range w.nodes {
		if w.up(j) && !other.ended && !w.cut[j][i] {
			if w.now.Sub(n.heardAt[j]) > 600*time.Millisecond {
				n.dead[j] = 1200*time.Millisecond + time.Duration(w.random.IntN(2300))*time.Millisecond
			}
			n.heardAt[j] = w.now
		}
		hears := i == j || (n.heardAt[j] > 0 && w.now.Sub(n.heardAt[j]) < n.dead[j])
		if hears {
			live = append(live, other.host)
		}
		if hears || n.rows[j] {
			all = append(all, other.host)
		}
	}
	if w.mutant == keptByLive {
		all = live
	}
	t, now := n.book.tenants[tenantID], n.clock(w)
	before, lapsed := slices.Clone(t.own), n.book.lapsed(now)
	n.book.SetHosts(now, live, all)
	for i := range t.own {
		if w.mutant == newPartsFull && t.own[i] == (bucket{1, now}) {
			t.own[i].tokens = t.size.burst
		}
		if w.mutant == fullAfterLapse && lapsed && i < len(before) {
			t.own[i] = before[i]
		}
	}
}

// readRows lets a host that reaches the store keep its row, delete those of hosts that have been silent for long, and read all rows
// now and then.
func (w *world) readRows(i int) {
	n := w.nodes[i]
	if n.offline {
		return
	}
	w.rows[i] = true
	for j, other := range w.nodes {
		if w.up(j) && !other.ended && !w.cut[j][i] {
			w.heardAt[j] = w.now
		} else if w.now.Sub(max(w.heardAt[j], n.started)) > w.retains {
			w.rows[j] = false
		}
	}
	if w.random.IntN(10) == 0 {
		n.rows = slices.Clone(w.rows)
	}
}

// own returns the parts that a host keeps.
func (n *node) own() []bucket { return n.book.tenants[tenantID].own }

// limitOf sets the limit of a host.
func (w *world) limitOf(n *node, limit Limit) {
	n.book.SetLimits(n.clock(w), map[model.TenantID]Limit{tenantID: limit})
	if w.mutant == allCovered {
		n.book.tenants[tenantID].covered = true
	}
	if t := n.book.tenants[tenantID]; w.mutant == keptByOne && t.parts > 1 {
		t.size.rate, t.size.burst = t.size.rate*float64(t.parts), t.size.burst*float64(t.parts)
		t.parts = 1
		n.book.place(t, n.clock(w))
	}
}

// setLimit changes the limit on all hosts.
func (w *world) setLimit(limit Limit) {
	w.limits, w.binds = append(w.limits, limit), append(w.binds, w.now.Add(validity))
	for _, n := range w.nodes {
		before := slices.Clone(n.own())
		w.limitOf(n, limit)
		if w.mutant == ignoresLowerLimit {
			copy(n.own(), before)
			n.book.tenants[tenantID].size.burst = 1e9
		}
	}
}

// play plays the scenario and returns the first violation of the rule.
func (w *world) play() string {
	begin := w.now
	for passed := time.Duration(0); passed < w.length; passed += modelStep {
		w.now = begin.Add(passed)
		if do := w.events[passed]; do != nil {
			do(w)
		}
		if w.scenario.random != nil {
			w.scenario.random(w, passed)
		}
		w.step(passed)
	}
	return w.violation()
}

// step advances the model by one step.
func (w *world) step(passed time.Duration) {
	w.left = slices.DeleteFunc(w.left, func(waiter *Waiter[int]) bool {
		n := w.nodes[waiter.Value]
		gone := n.clock(w) >= waiter.deadline.Add(patience-opWait)
		if gone {
			n.book.Cancel(waiter)
		}
		return gone
	})
	due := w.sent
	w.sent = nil
	for _, d := range due {
		if d.at > w.now {
			w.sent = append(w.sent, d)
		} else if w.up(d.to) && !w.nodes[d.to].ended {
			w.deliver(d, passed)
		}
	}
	for w.owed += w.demand(passed) * modelStep.Seconds(); w.owed >= 1; w.owed-- {
		w.operate(w.place(passed), passed)
	}
	for i, n := range w.nodes {
		if !w.up(i) {
			continue
		}
		if n.ended {
			n.ended = false
			w.start(i)
		}
		if (passed/modelStep+time.Duration(i*7))%50 == 0 {
			w.hear(i)
		}
		if at, due := n.book.Next(); due && at <= n.clock(w) {
			w.due(i, passed)
		}
	}
}

// place returns the host at which the next operation arrives.
func (w *world) place(passed time.Duration) int {
	switch away := w.order[min(maxParts, len(w.order)):]; {
	case w.away && passed < w.leave:
		return away[int(passed/second)%len(away)]
	case w.away:
		return away[w.random.IntN(len(away))]
	}
	i := w.random.IntN(len(w.nodes))
	for range 20 {
		if w.up(i) && (w.clients == nil || w.clients(w, i)) {
			break
		}
		i = w.random.IntN(len(w.nodes))
	}
	return i
}

// operate lets an operation arrive at a host.
func (w *world) operate(i int, passed time.Duration) {
	if !w.up(i) || w.nodes[i].ended {
		return
	}
	n, waiter := w.nodes[i], &Waiter[int]{Value: i}
	w.asked++
	rank := model.Rank(1 + w.random.IntN(model.RankCount))
	verdict, _ := n.book.Spend(n.clock(w), tenantID, rank, n.clock(w).Add(opWait), waiter)
	switch verdict {
	case Spent:
		w.spent = append(w.spent, w.now)
	case Refused:
		w.refused[rank.Index()]++
	case Waiting:
		w.due(i, passed)
		if passed < w.leave {
			w.left = append(w.left, waiter)
		}
	}
}

// due calls Due of a host.
func (w *world) due(i int, passed time.Duration) {
	n := w.nodes[i]
	questions, decisions := n.book.Due(n.clock(w))
	w.decide(decisions)
	for _, q := range questions {
		to := slices.IndexFunc(w.nodes, func(other *node) bool { return other.host.ID == q.To })
		n.flights[q.Question.Sequence] = n.book.inFlight[len(n.book.inFlight)-1]
		w.send(datagram{from: i, to: to, question: &q.Question}, passed)
	}
}

// decide counts decisions.
func (w *world) decide(decisions []Decision[int]) {
	for _, d := range decisions {
		if d.Spent {
			w.spent = append(w.spent, w.now)
		} else {
			w.refused[d.Waiter.rank.Index()]++
		}
	}
}

// send sends a datagram over the network of the model.
func (w *world) send(d datagram, passed time.Duration) {
	copies := 1
	if w.random.Float64() < w.doubled {
		copies = 2
	}
	for range copies {
		if w.cut[d.from][d.to] || w.random.Float64() < w.lost {
			continue
		}
		latency := time.Duration(1+w.random.IntN(14)) * time.Millisecond
		if w.random.Float64() < w.late {
			latency = time.Duration(w.random.IntN(400)) * time.Millisecond
		}
		if w.delay != nil && d.answer != nil {
			latency += w.delay(passed)
		}
		d.at = w.now.Add(latency)
		w.sent = append(w.sent, d)
	}
}

// deliver hands a datagram to its receiver.
func (w *world) deliver(d datagram, passed time.Duration) {
	n := w.nodes[d.to]
	if d.question != nil {
		answer := n.book.Answer(n.clock(w), *d.question)
		w.send(datagram{from: d.to, to: d.from, answer: &answer}, passed)
		return
	}
	flight := n.flights[d.answer.Sequence]
	switch {
	case flight == nil:
	case w.mutant == validFromArrival, w.mutant == noExpiry:
		flight.sentAt = n.clock(w)
		fallthrough
	case w.mutant == countsDuplicates:
		if !slices.Contains(n.book.inFlight, flight) {
			flight.overdue = true
			n.book.inFlight = append(n.book.inFlight, flight)
			slices.SortFunc(n.book.inFlight, func(x, y *question) int { return int(x.Sequence) - int(y.Sequence) })
		}
		if w.mutant != countsDuplicates {
			delete(n.flights, d.answer.Sequence)
		}
	}
	w.decide(n.book.Accept(n.clock(w), *d.answer))
	if w.mutant == noExpiry {
		for i := range n.book.tenants[tenantID].held {
			n.book.tenants[tenantID].held[i].expires = math.MaxInt64
		}
	}
}

// violation describes the first window with too many operations, or returns an empty text.
func (w *world) violation() string {
	first := 0
	for i, at := range w.spent {
		for w.spent[first] <= at.Add(-tolerance.Window) {
			first++
		}
		limit := Limit{}
		for j, l := range w.limits {
			// A limit counts from the time it is set; the one before it counts until the new one binds.
			ended := j+1 < len(w.limits) && w.binds[j+1] <= at.Add(-tolerance.Window)
			if !ended && (limit == Limit{} || tolerance.total(l) > tolerance.total(limit)) {
				limit = l
			}
		}
		most := tolerance.total(limit)*(1+tolerance.Excess) + float64(tolerance.Slack)
		if got := i - first + 1; float64(got) > most {
			return fmt.Sprintf("%d operations in the 5 s before %v, want at most %.0f", got, at, most)
		}
	}
	return ""
}
