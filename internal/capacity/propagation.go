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

// Propagation is how fast the hosts of a fleet learn of a change from each other, with the store answering nothing new.
type Propagation struct {
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
	sameRegionLatency  = time.Millisecond
	crossRegionLatency = 10 * time.Millisecond
	callTimeout        = 150 * time.Millisecond
	warmUpTime         = 5 * time.Second
	propagationLimit   = 30 * time.Second
)

// errNoResponse is the end of a call that got no answer.
var errNoResponse = errors.New("no answer")

// delivery is an event on its way to a host.
type delivery struct {
	at    time.Time
	order int
	host  int
	event fleet.Event
}

// deliveryQueue is a heap of events by time.
type deliveryQueue []delivery

func (q deliveryQueue) Len() int      { return len(q) }
func (q deliveryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *deliveryQueue) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q deliveryQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q *deliveryQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	*q = (*q)[:last]
	return item
}

// simulation is the membership of a whole fleet on a virtual clock.
type simulation struct {
	now       time.Time
	hosts     []model.Host
	hostIndex map[model.HostID]int
	machines  []*fleet.Machine
	policies  []*config.Policy
	crashed   int // the crashed host, or -1
	queue     deliveryQueue
	lastOrder int
	random    *rand.Rand

	configuredAt []time.Time
	detectedAt   []time.Time
}

// MeasurePropagation measures how long a configuration and the death of a host take to reach every host.
func MeasurePropagation(hosts int, seed uint64) (Propagation, error) {
	m, err := newSimulation(hosts, seed)
	if err != nil {
		return Propagation{}, err
	}
	m.run(warmUpTime, func() bool { return false })
	accepted := m.now
	m.schedule(0, 0, fleet.PolicyAccepted{Policy: m.policies[1]})
	m.run(propagationLimit, func() bool { return !slices.ContainsFunc(m.configuredAt, time.Time.IsZero) })
	crashed := m.now
	m.crashed = hosts / 2
	m.detectedAt[m.crashed] = crashed
	m.run(propagationLimit, func() bool { return !slices.ContainsFunc(m.detectedAt, time.Time.IsZero) })
	configured, missed := delaysSince(accepted, m.configuredAt, 0)
	mourned, unaware := delaysSince(crashed, m.detectedAt, m.crashed)
	return Propagation{
		Hosts:               hosts,
		ConfigurationMedian: configured[len(configured)/2],
		ConfigurationWorst:  configured[len(configured)-1],
		DeathFirst:          mourned[0],
		DeathMedian:         mourned[len(mourned)/2],
		DeathWorst:          mourned[len(mourned)-1],
		Missing:             missed + unaware,
	}, nil
}

// delaysSince returns the sorted times from a moment, and the number of hosts that never got there.
func delaysSince(moment time.Time, reached []time.Time, but int) (times []time.Duration, missing int) {
	for host, at := range reached {
		switch {
		case host == but:
		case at.IsZero():
			missing++
			times = append(times, propagationLimit)
		default:
			times = append(times, at.Sub(moment))
		}
	}
	slices.Sort(times)
	return times, missing
}

// newSimulation returns a fleet whose hosts start within one round of heartbeats.
func newSimulation(hosts int, seed uint64) (*simulation, error) {
	m := &simulation{
		now:          time.Unix(1_800_000_000, 0),
		hosts:        newEnvironment(hosts, 0).hosts,
		hostIndex:    map[model.HostID]int{},
		crashed:      -1,
		random:       rand.New(rand.NewPCG(seed, seed)),
		configuredAt: make([]time.Time, hosts),
		detectedAt:   make([]time.Time, hosts),
	}
	for version := range 2 {
		policy, err := config.Compile(model.Version(version+1), config.Default())
		if err != nil {
			return nil, err
		}
		m.policies = append(m.policies, policy)
	}
	for number, host := range m.hosts {
		m.hostIndex[host.ID] = number
		machine := fleet.New()
		machine.Self = host
		machine.Incarnation = incarnation
		machine.Policy = m.policies[0]
		machine.NewNonce = func() model.Nonce { return "nonce" }
		m.machines = append(m.machines, machine)
		m.schedule(number, time.Duration(m.random.Int64N(int64(time.Second))), fleet.Tick{})
	}
	return m, nil
}

// schedule brings an event to a host after a delay.
func (m *simulation) schedule(to int, delay time.Duration, event fleet.Event) {
	m.lastOrder++
	heap.Push(&m.queue, delivery{at: m.now.Add(delay), order: m.lastOrder, host: to, event: event})
}

// run handles events until the time has passed or the condition holds.
func (m *simulation) run(limit time.Duration, over func() bool) {
	end := m.now.Add(limit)
	next := m.now.Add(tickInterval)
	for m.queue[0].at.Before(end) {
		item := heap.Pop(&m.queue).(delivery)
		m.now = item.at
		m.handle(item)
		if m.now.Before(next) {
			continue
		}
		next = m.now.Add(tickInterval)
		if over() {
			return
		}
	}
}

// handle lets one host handle one event.
func (m *simulation) handle(item delivery) {
	if item.host == m.crashed {
		return
	}
	if _, tick := item.event.(fleet.Tick); tick {
		m.schedule(item.host, tickInterval, fleet.Tick{})
	}
	machine := m.machines[item.host]
	for _, action := range machine.Handle(m.now, item.event) {
		m.perform(item.host, action)
	}
	m.recordProgress(item.host, machine.Snapshot())
}

// recordProgress notes when a host has the new configuration and when it holds the crashed host for dead.
func (m *simulation) recordProgress(host int, seen *view.View) {
	if m.configuredAt[host].IsZero() && seen.Policy.Version > m.policies[0].Version {
		m.configuredAt[host] = m.now
	}
	if m.crashed >= 0 && m.detectedAt[host].IsZero() && seen.Hosts[m.hosts[m.crashed].ID].Liveness == view.Dead {
		m.detectedAt[host] = m.now
	}
}

// perform performs one action of a host.
func (m *simulation) perform(host int, action fleet.Action) {
	switch action := action.(type) {
	case fleet.SendHeartbeat:
		m.sendHeartbeat(host, action)
	case fleet.AnswerHeartbeat:
		action.Answer(action.Beat)
	case fleet.ReadMembers:
		m.schedule(host, crossRegionLatency, fleet.MembersRead{Hosts: m.hosts})
	case fleet.ReadRows:
		m.schedule(host, crossRegionLatency, fleet.RowsRead{})
	case fleet.FetchConfiguration:
		m.fetchConfiguration(host, action.Fetch)
	}
}

// sendHeartbeat carries a heartbeat and its answer; a crashed host answers nothing.
func (m *simulation) sendHeartbeat(from int, action fleet.SendHeartbeat) {
	to := m.hostIndex[action.Host.ID]
	if to == m.crashed {
		m.schedule(from, callTimeout, fleet.HeartbeatSent{Host: action.Host.ID, Err: errNoResponse})
		return
	}
	delay := m.latency(from, to)
	m.schedule(to, delay, fleet.HeartbeatIn{Beat: action.Beat, Answer: func(answer fleet.Heartbeat) {
		m.schedule(from, delay, fleet.HeartbeatSent{Host: action.Host.ID, Beat: answer})
	}})
}

// fetchConfiguration carries a configuration from another host.
func (m *simulation) fetchConfiguration(host int, fetch rollout.Action) {
	from, found := m.hostIndex[fetch.Peer]
	if !found || from == m.crashed {
		m.schedule(host, callTimeout, fleet.ConfigurationFetched{Action: fetch, Err: errNoResponse})
		return
	}
	policy := m.machines[from].Snapshot().Policy
	m.schedule(host, 2*m.latency(host, from), fleet.ConfigurationFetched{Action: fetch, Policy: policy})
}

// latency returns the time of one message between two hosts.
func (m *simulation) latency(a, b int) time.Duration {
	if m.hosts[a].Region == m.hosts[b].Region {
		return sameRegionLatency
	}
	return crossRegionLatency
}
