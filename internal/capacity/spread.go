package capacity

import (
	"container/heap"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/fleet"
	"redwingspread/internal/model"
	"redwingspread/internal/rollout"
	"redwingspread/internal/view"
)

// Spread is how fast the hosts of a fleet learn of a change from each other, with the store answering nothing new.
type Spread struct {
	Hosts               int           `json:"hosts"`
	ConfigurationMedian time.Duration `json:"configuration_median_ns"` // from acceptance at one host until another has it in force
	ConfigurationWorst  time.Duration `json:"configuration_worst_ns"`
	DeathFirst          time.Duration `json:"death_first_ns"` // from a host's crash until a host holds it for dead
	DeathMedian         time.Duration `json:"death_median_ns"`
	DeathWorst          time.Duration `json:"death_worst_ns"`
	Missing             int           `json:"missing"` // hosts that learnt one of the two not at all
}

// The times of the measured fleet.
const (
	hopNear     = time.Millisecond
	hopFar      = 10 * time.Millisecond
	callLimit   = 150 * time.Millisecond
	warmTime    = 5 * time.Second
	spreadLimit = 30 * time.Second
)

// errSilent is the end of a call that got no answer.
var errSilent = errors.New("no answer")

// delivery is an event on its way to a host.
type delivery struct {
	at    time.Time
	order int
	to    int
	event fleet.Event
}

// deliveries is a heap of events by time.
type deliveries []delivery

func (q deliveries) Len() int      { return len(q) }
func (q deliveries) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *deliveries) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q deliveries) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q *deliveries) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	*q = (*q)[:last]
	return item
}

// mesh is the membership of a whole fleet on a virtual clock.
type mesh struct {
	now      time.Time
	hosts    []model.Host
	index    map[model.HostID]int
	machines []*fleet.Machine
	policies []*config.Policy
	dead     int // the crashed host, or -1
	queue    deliveries
	order    int
	random   *rand.Rand

	configured []time.Time
	mourned    []time.Time
}

// MeasureSpread measures how long a configuration and the death of a host take to reach every host.
func MeasureSpread(hosts int, seed uint64) (Spread, error) {
	m, err := newMesh(hosts, seed)
	if err != nil {
		return Spread{}, err
	}
	m.run(warmTime, func() bool { return false })
	accepted := m.now
	m.deliver(0, 0, fleet.PolicyAccepted{Policy: m.policies[1]})
	m.run(spreadLimit, func() bool { return !slices.ContainsFunc(m.configured, time.Time.IsZero) })
	crashed := m.now
	m.dead = hosts / 2
	m.mourned[m.dead] = crashed
	m.run(spreadLimit, func() bool { return !slices.ContainsFunc(m.mourned, time.Time.IsZero) })
	configured, missed := since(accepted, m.configured, 0)
	mourned, unaware := since(crashed, m.mourned, m.dead)
	return Spread{
		Hosts:               hosts,
		ConfigurationMedian: configured[len(configured)/2],
		ConfigurationWorst:  configured[len(configured)-1],
		DeathFirst:          mourned[0],
		DeathMedian:         mourned[len(mourned)/2],
		DeathWorst:          mourned[len(mourned)-1],
		Missing:             missed + unaware,
	}, nil
}

// since returns the sorted times from a moment, and the number of hosts that never got there.
func since(moment time.Time, reached []time.Time, but int) (times []time.Duration, missing int) {
	for host, at := range reached {
		switch {
		case host == but:
		case at.IsZero():
			missing++
			times = append(times, spreadLimit)
		default:
			times = append(times, at.Sub(moment))
		}
	}
	slices.Sort(times)
	return times, missing
}

// newMesh returns a fleet whose hosts start within one round of heartbeats.
func newMesh(hosts int, seed uint64) (*mesh, error) {
	m := &mesh{
		now:        time.Unix(1_800_000_000, 0),
		hosts:      newOutside(hosts, 0).hosts,
		index:      map[model.HostID]int{},
		dead:       -1,
		random:     rand.New(rand.NewPCG(seed, seed)),
		configured: make([]time.Time, hosts),
		mourned:    make([]time.Time, hosts),
	}
	for version := range 2 {
		policy, err := config.Compile(model.Version(version+1), config.Default())
		if err != nil {
			return nil, err
		}
		m.policies = append(m.policies, policy)
	}
	for number, host := range m.hosts {
		m.index[host.ID] = number
		machine := fleet.New()
		machine.Self = host
		machine.Incarnation = incarnation
		machine.Policy = m.policies[0]
		machine.NewNonce = func() model.Nonce { return "nonce" }
		m.machines = append(m.machines, machine)
		m.deliver(number, time.Duration(m.random.Int64N(int64(time.Second))), fleet.Tick{})
	}
	return m, nil
}

// deliver brings an event to a host after a delay.
func (m *mesh) deliver(to int, delay time.Duration, event fleet.Event) {
	m.order++
	heap.Push(&m.queue, delivery{at: m.now.Add(delay), order: m.order, to: to, event: event})
}

// run handles events until the time has passed or the condition holds.
func (m *mesh) run(limit time.Duration, over func() bool) {
	end := m.now.Add(limit)
	next := m.now.Add(tickEvery)
	for m.queue[0].at.Before(end) {
		item := heap.Pop(&m.queue).(delivery)
		m.now = item.at
		m.handle(item)
		if m.now.Before(next) {
			continue
		}
		next = m.now.Add(tickEvery)
		if over() {
			return
		}
	}
}

// handle lets one host handle one event.
func (m *mesh) handle(item delivery) {
	if item.to == m.dead {
		return
	}
	if _, tick := item.event.(fleet.Tick); tick {
		m.deliver(item.to, tickEvery, fleet.Tick{})
	}
	machine := m.machines[item.to]
	for _, action := range machine.Handle(m.now, item.event) {
		m.act(item.to, action)
	}
	m.watch(item.to, machine.Snapshot())
}

// watch notes when a host has the new configuration and when it holds the crashed host for dead.
func (m *mesh) watch(host int, seen *view.View) {
	if m.configured[host].IsZero() && seen.Policy.Version > m.policies[0].Version {
		m.configured[host] = m.now
	}
	if m.dead >= 0 && m.mourned[host].IsZero() && seen.Hosts[m.hosts[m.dead].ID].Liveness == view.Dead {
		m.mourned[host] = m.now
	}
}

// act performs one action of a host.
func (m *mesh) act(host int, action fleet.Action) {
	switch action := action.(type) {
	case fleet.SendHeartbeat:
		m.beat(host, action)
	case fleet.AnswerHeartbeat:
		action.Answer(action.Heartbeat)
	case fleet.ReadMembers:
		m.deliver(host, hopFar, fleet.MembersRead{Hosts: m.hosts})
	case fleet.ReadRows:
		m.deliver(host, hopFar, fleet.RowsRead{})
	case fleet.FetchConfiguration:
		m.fetch(host, action.Fetch)
	}
}

// beat carries a heartbeat and its answer; a crashed host answers nothing.
func (m *mesh) beat(from int, action fleet.SendHeartbeat) {
	to := m.index[action.Host.ID]
	if to == m.dead {
		m.deliver(from, callLimit, fleet.HeartbeatSent{Host: action.Host.ID, Err: errSilent})
		return
	}
	delay := m.hop(from, to)
	m.deliver(to, delay, fleet.HeartbeatReceived{Heartbeat: action.Heartbeat, Answer: func(answer fleet.Heartbeat) {
		m.deliver(from, delay, fleet.HeartbeatSent{Host: action.Host.ID, Heartbeat: answer})
	}})
}

// fetch carries a configuration from another host.
func (m *mesh) fetch(host int, fetch rollout.Action) {
	from, found := m.index[fetch.Peer]
	if !found || from == m.dead {
		m.deliver(host, callLimit, fleet.ConfigurationFetched{Action: fetch, Err: errSilent})
		return
	}
	policy := m.machines[from].Snapshot().Policy
	m.deliver(host, 2*m.hop(host, from), fleet.ConfigurationFetched{Action: fetch, Policy: policy})
}

// hop returns the time of one message between two hosts.
func (m *mesh) hop(a, b int) time.Duration {
	if m.hosts[a].Region == m.hosts[b].Region {
		return hopNear
	}
	return hopFar
}
