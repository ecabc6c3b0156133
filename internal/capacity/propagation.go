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

// Propagation is the time in which the hosts of a fleet learn of a change from each other alone; the store returns no changes.
type Propagation struct {
	Hosts               int           `json:"hosts"`
	ConfigurationMedian time.Duration `json:"configuration_median_ns"` // from acceptance on one host until it is in force on another
	ConfigurationWorst  time.Duration `json:"configuration_worst_ns"`
	DeathFirst          time.Duration `json:"death_first_ns"` // from the crash of a host until another considers it dead
	DeathMedian         time.Duration `json:"death_median_ns"`
	DeathWorst          time.Duration `json:"death_worst_ns"`
	Missing             int           `json:"missing"` // hosts that never learnt of a change, summed over both changes
}

// Times of the simulation.
const (
	sameRegionLatency  = time.Millisecond      // one way
	crossRegionLatency = 10 * time.Millisecond // one way
	callTimeout        = 150 * time.Millisecond
	warmUpTime         = 5 * time.Second  // before the first change
	propagationLimit   = 30 * time.Second // longest wait for a change to reach all hosts
)

// errNoResponse is the error of a call to a host that does not respond.
var errNoResponse = errors.New("no response")

// delivery is an event that a host receives at a given time.
type delivery struct {
	at    time.Time
	order int // order of scheduling among events at the same time
	host  int // index of the receiving host
	event fleet.Event
}

// deliveryQueue is a heap of deliveries, ordered by time.
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
	popped := (*q)[last]
	*q = (*q)[:last]
	return popped
}

// simulation runs the control machines of a whole fleet on a virtual clock.
type simulation struct {
	now       time.Time
	hosts     []model.Host
	hostIndex map[model.HostID]int // index in hosts
	machines  []*fleet.Machine     // one for each host
	policies  []*config.Policy     // the initial configuration and its successor
	crashed   int                  // index of the crashed host, or -1
	queue     deliveryQueue
	lastOrder int // order of the last scheduled delivery
	random    *rand.Rand

	configuredAt []time.Time // for each host, when the new configuration came into force; zero before
	detectedAt   []time.Time // for each host, when it detected the crash; zero before
}

// MeasurePropagation measures how long it takes until every host has a new configuration, and until every host has detected the
// crash of one.
func MeasurePropagation(hosts int, seed uint64) (Propagation, error) {
	s, err := newSimulation(hosts, seed)
	if err != nil {
		return Propagation{}, err
	}
	s.run(warmUpTime, func() bool { return false })
	acceptedAt := s.now
	s.schedule(0, 0, fleet.PolicyAccepted{Policy: s.policies[1]})
	s.run(propagationLimit, func() bool { return !slices.ContainsFunc(s.configuredAt, time.Time.IsZero) })
	crashedAt := s.now
	s.crashed = hosts / 2
	s.detectedAt[s.crashed] = crashedAt
	s.run(propagationLimit, func() bool { return !slices.ContainsFunc(s.detectedAt, time.Time.IsZero) })
	configured, unconfigured := delaysSince(acceptedAt, s.configuredAt, 0)
	detected, undetected := delaysSince(crashedAt, s.detectedAt, s.crashed)
	return Propagation{
		Hosts:               hosts,
		ConfigurationMedian: configured[len(configured)/2],
		ConfigurationWorst:  configured[len(configured)-1],
		DeathFirst:          detected[0],
		DeathMedian:         detected[len(detected)/2],
		DeathWorst:          detected[len(detected)-1],
		Missing:             unconfigured + undetected,
	}, nil
}

// delaysSince returns the delays from the start until each host was reached, sorted and without the excepted host, and the number
// of hosts that were never reached, whose delays are set to propagationLimit.
func delaysSince(start time.Time, reachedAt []time.Time, except int) (delays []time.Duration, missing int) {
	for host, at := range reachedAt {
		switch {
		case host == except:
		case at.IsZero():
			missing++
			delays = append(delays, propagationLimit)
		default:
			delays = append(delays, at.Sub(start))
		}
	}
	slices.Sort(delays)
	return delays, missing
}

// newSimulation returns the simulation of a fleet whose hosts start at random times within one second.
func newSimulation(hosts int, seed uint64) (*simulation, error) {
	s := &simulation{
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
		s.policies = append(s.policies, policy)
	}
	for index, host := range s.hosts {
		s.hostIndex[host.ID] = index
		machine := fleet.New()
		machine.Self = host
		machine.Incarnation = incarnation
		machine.Policy = s.policies[0]
		machine.NewNonce = func() model.Nonce { return "nonce" }
		s.machines = append(s.machines, machine)
		s.schedule(index, time.Duration(s.random.Int64N(int64(time.Second))), fleet.Tick{})
	}
	return s, nil
}

// schedule delivers an event to a host after a delay.
func (s *simulation) schedule(host int, delay time.Duration, event fleet.Event) {
	s.lastOrder++
	heap.Push(&s.queue, delivery{at: s.now.Add(delay), order: s.lastOrder, host: host, event: event})
}

// run handles events until the time limit has passed or done returns true, which is checked once per tick interval.
func (s *simulation) run(limit time.Duration, done func() bool) {
	end := s.now.Add(limit)
	nextCheck := s.now.Add(tickInterval)
	for s.queue[0].at.Before(end) {
		next := heap.Pop(&s.queue).(delivery)
		s.now = next.at
		s.handle(next)
		if s.now.Before(nextCheck) {
			continue
		}
		nextCheck = s.now.Add(tickInterval)
		if done() {
			return
		}
	}
}

// handle delivers one event to its host and performs the actions that follow; a crashed host handles nothing.
func (s *simulation) handle(next delivery) {
	if next.host == s.crashed {
		return
	}
	if _, tick := next.event.(fleet.Tick); tick {
		s.schedule(next.host, tickInterval, fleet.Tick{})
	}
	machine := s.machines[next.host]
	for _, action := range machine.Handle(s.now, next.event) {
		s.perform(next.host, action)
	}
	s.recordProgress(next.host, machine.Snapshot())
}

// recordProgress records when a host has the new configuration and when it considers the crashed host dead.
func (s *simulation) recordProgress(host int, snapshot *view.View) {
	if s.configuredAt[host].IsZero() && snapshot.Policy.Version > s.policies[0].Version {
		s.configuredAt[host] = s.now
	}
	if s.crashed >= 0 && s.detectedAt[host].IsZero() && snapshot.Hosts[s.hosts[s.crashed].ID].Liveness == view.Dead {
		s.detectedAt[host] = s.now
	}
}

// perform schedules the events that an action of a host causes.
func (s *simulation) perform(host int, action fleet.Action) {
	switch action := action.(type) {
	case fleet.SendHeartbeat:
		s.sendHeartbeat(host, action)
	case fleet.AnswerHeartbeat:
		action.Answer(action.Heartbeat)
	case fleet.ReadMembers:
		s.schedule(host, crossRegionLatency, fleet.MembersRead{Hosts: s.hosts})
	case fleet.ReadRows:
		s.schedule(host, crossRegionLatency, fleet.RowsRead{})
	case fleet.FetchConfiguration:
		s.fetchConfiguration(host, action.Fetch)
	}
}

// sendHeartbeat delivers a heartbeat and the response to it; a call to the crashed host times out.
func (s *simulation) sendHeartbeat(from int, action fleet.SendHeartbeat) {
	to := s.hostIndex[action.Host.ID]
	if to == s.crashed {
		s.schedule(from, callTimeout, fleet.HeartbeatResult{Host: action.Host.ID, Err: errNoResponse})
		return
	}
	delay := s.latency(from, to)
	s.schedule(to, delay, fleet.HeartbeatReceived{Heartbeat: action.Heartbeat, Answer: func(answer fleet.Heartbeat) {
		s.schedule(from, delay, fleet.HeartbeatResult{Host: action.Host.ID, Heartbeat: answer})
	}})
}

// fetchConfiguration delivers the configuration of another host; a call to the crashed host times out.
func (s *simulation) fetchConfiguration(host int, fetch rollout.Action) {
	from, found := s.hostIndex[fetch.Peer]
	if !found || from == s.crashed {
		s.schedule(host, callTimeout, fleet.ConfigurationFetched{Action: fetch, Err: errNoResponse})
		return
	}
	policy := s.machines[from].Snapshot().Policy
	s.schedule(host, 2*s.latency(host, from), fleet.ConfigurationFetched{Action: fetch, Policy: policy})
}

// latency returns the one-way latency between two hosts.
func (s *simulation) latency(a, b int) time.Duration {
	if s.hosts[a].Region == s.hosts[b].Region {
		return sameRegionLatency
	}
	return crossRegionLatency
}
