package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"redwingspread/internal/ack"
	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// The model test runs the machines and the tally of acknowledgements in a simulation with faults at random times.
const (
	faultPeriod         = 6 * time.Second  // duration of the faults
	recoveryPeriod      = 30 * time.Second // time to recover after all faults have ended
	writeInterval       = 15 * time.Millisecond
	replicationInterval = 20 * time.Millisecond
)

// ackedWrite is an acknowledged write.
type ackedWrite struct {
	value      int
	term       model.Term
	instance   model.InstanceID
	durability model.Durability
	committed  time.Time
}

// promotion records the log of an instance when it became primary.
type promotion struct {
	term     model.Term
	instance model.InstanceID
	at       time.Time
	values   map[int]bool
}

// checker is a simulation with random writes that looks for violated guarantees.
type checker struct {
	*simulation
	random         *rand.Rand
	skipsWitnesses bool // writes are acknowledged without witnesses, to test that the checker notices
	lastValue      int  // value of the last write sent
	acks           []ackedWrite
	promotions     []promotion
	writers        map[model.Term]model.InstanceID // instance that accepted writes in each term
	terms          map[string]model.Term           // last seen term of each instance and of the row
	written        map[int]model.Term              // terms of the values that instances accepted
	reportedAbsent map[int]model.Term              // lowest term in which a served primary lacked the value and so may have reported it as absent
	violation      string
}

// newChecker returns a checker with random message delays.
func newChecker(seed uint64) *checker {
	c := &checker{
		simulation:     newSimulation(3, 1),
		random:         rand.New(rand.NewPCG(seed, seed)),
		writers:        make(map[model.Term]model.InstanceID),
		terms:          make(map[string]model.Term),
		written:        make(map[int]model.Term),
		reportedAbsent: make(map[int]model.Term),
	}
	c.delay = func() time.Duration {
		if c.random.IntN(20) == 0 {
			return time.Duration(c.random.IntN(600)) * time.Millisecond
		}
		return time.Duration(1+c.random.IntN(20)) * time.Millisecond
	}
	c.onCall = c.checkCall
	c.interruptsCopy = func() bool { return c.random.IntN(2) == 0 }
	c.writeFromHosts()
	c.copyEntries()
	return c
}

// fail records the first violation.
func (c *checker) fail(format string, arguments ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, arguments...)
	}
}

// checkTerm checks that a term never decreases.
func (c *checker) checkTerm(name string, term model.Term) {
	if term < c.terms[name] {
		c.fail("%s: term fell from %d to %d", name, c.terms[name], term)
	}
	c.terms[name] = term
}

// checkCall checks the terms after a call to an instance, and a promotion against the acknowledged writes.
func (c *checker) checkCall(f *fakeInstance, action InstanceAction) {
	c.checkTerm(string(f.instance.ID), f.term)
	c.checkTerm("row", c.store.rows[f.instance.Database].Term)
	if action.Call != CallPromote {
		return
	}
	for _, item := range c.promotions {
		if item.term == f.term && item.instance == f.instance.ID {
			return
		}
	}
	promoted := promotion{term: f.term, instance: f.instance.ID, at: c.now, values: make(map[int]bool)}
	for _, item := range f.log {
		promoted.values[item.value] = true
	}
	c.promotions = append(c.promotions, promoted)
	for _, item := range c.acks {
		c.checkWrite(item, promoted)
	}
}

// checkWrite checks one acknowledged write against one promotion.
func (c *checker) checkWrite(write ackedWrite, promoted promotion) {
	if promoted.term <= write.term {
		return
	}
	if write.durability == model.DurabilityReplica && !promoted.values[write.value] {
		c.fail("write %d of term %d was acknowledged by a replica and is missing in %s of term %d", write.value, write.term, promoted.instance, promoted.term)
	}
	if promoted.instance != write.instance && promoted.at.Before(write.committed) {
		c.fail("write %d of term %d was made on %s after %s had become primary of term %d", write.value, write.term, write.instance, promoted.instance, promoted.term)
	}
}

// copyEntries lets the replicas copy a random number of entries, repeatedly.
func (c *checker) copyEntries() {
	for _, id := range c.instanceIDs() {
		f := c.instances[id]
		if f.role == model.RoleReplica && c.random.IntN(3) > 0 && c.reaches(string(f.instance.ID), string(f.upstream)) {
			f.replicate(c.random.IntN(4))
		}
	}
	c.schedule(replicationInterval, c.copyEntries)
}

// instanceIDs returns the ids of the instances, sorted.
func (sim *simulation) instanceIDs() []model.InstanceID {
	var ids []model.InstanceID
	for id := range sim.instances {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// hostIDs returns the ids of the hosts, sorted.
func (sim *simulation) hostIDs() []model.HostID {
	var ids []model.HostID
	for id := range sim.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// writeFromHosts lets every host that believes it serves the database write, repeatedly.
func (c *checker) writeFromHosts() {
	for _, id := range c.hostIDs() {
		h := c.hosts[id]
		if d := h.machine.Snapshot().Databases["d0"]; !h.down && !h.paused && d != nil && d.Serving {
			c.write(h, d)
		}
	}
	c.schedule(writeInterval, c.writeFromHosts)
}

// write sends one write in the owner's term.
func (c *checker) write(h *fakeHost, d *view.Database) {
	from, to := string(h.host.ID), string(d.Primary)
	if c.random.IntN(16) == 0 {
		c.checkAbsence(d)
	}
	c.lastValue++
	value, machine := c.lastValue, h.machine
	c.schedule(c.delay(), func() {
		if !c.reaches(from, to) {
			return
		}
		f := c.instances[d.Primary]
		point, ok := f.write(d.Term, value)
		if !ok {
			return
		}
		if writer := c.writers[point.Term]; writer != "" && writer != f.instance.ID {
			c.fail("%s and %s both wrote in term %d", writer, f.instance.ID, point.Term)
		}
		c.writers[point.Term] = f.instance.ID
		c.written[value] = point.Term
		write := ackedWrite{value: value, term: d.Term, instance: d.Primary, committed: c.now}
		if c.reaches(to, from) {
			c.schedule(c.delay(), func() { c.onHost(h, machine, func() { c.gatherWitnesses(h, machine, d, write, point) }) })
		}
	})
}

// checkAbsence checks a served primary against earlier ones: a write that an earlier one lacked must not be in its log. It records
// the writes of older terms that its own log lacks.
func (c *checker) checkAbsence(d *view.Database) {
	f := c.instances[d.Primary]
	if f.role != model.RolePrimary || f.term != d.Term {
		return
	}
	has := make(map[int]bool, len(f.log))
	for _, item := range f.log {
		has[item.value] = true
		if absentIn := c.reportedAbsent[item.value]; absentIn > 0 && absentIn < d.Term {
			c.fail("write %d of term %d was absent from a served log and is present again in term %d", item.value, item.term, d.Term)
		}
	}
	for value, term := range c.written {
		if absentIn := c.reportedAbsent[value]; term < d.Term && !has[value] && (absentIn == 0 || absentIn > d.Term) {
			c.reportedAbsent[value] = d.Term
		}
	}
}

// gatherWitnesses probes the witnesses of a write and acknowledges it as soon as the tally allows.
func (c *checker) gatherWitnesses(h *fakeHost, machine *Machine, d *view.Database, write ackedWrite, point model.Point) {
	if c.skipsWitnesses {
		write.durability = model.DurabilityPrimary
		c.acknowledge(write)
		return
	}
	tally := &ack.Tally{Term: d.Term, Point: point, GroupSize: len(d.Group)}
	update := func() {
		reached, ok := tally.Durability()
		if ok && reached != write.durability {
			write.durability = reached
			c.acknowledge(write)
		}
	}
	for _, id := range d.Group {
		if id != d.Primary {
			c.query(h, machine, string(id), func() func() {
				state := c.instances[id].state()
				return func() { tally.AddReplica(state); update() }
			})
		}
	}
	c.query(h, machine, "store", func() func() {
		row := c.store.rows[d.ID]
		return func() { tally.AddRow(row); update() }
	})
}

// query sends a request from a host and the answer back; either may be late or lost.
func (c *checker) query(h *fakeHost, machine *Machine, to string, serve func() func()) {
	from := string(h.host.ID)
	c.schedule(c.delay(), func() {
		f := c.instances[model.InstanceID(to)]
		unavailable := f != nil && f.down || to == "store" && c.store.down
		if unavailable || !c.reaches(from, to) || !c.reaches(to, from) {
			return
		}
		answer := serve()
		c.schedule(c.delay(), func() { c.onHost(h, machine, answer) })
	})
}

// acknowledge records a write and checks it against all promotions so far.
func (c *checker) acknowledge(write ackedWrite) {
	c.acks = append(c.acks, write)
	for _, promoted := range c.promotions {
		c.checkWrite(write, promoted)
	}
}

// runFaults runs the schedule of faults and returns the first violation, or "".
func (c *checker) runFaults(faults []fault) string {
	c.run(settleTime)
	for _, f := range faults {
		c.schedule(time.Duration(f.At)*time.Millisecond, func() { c.inject(f) })
	}
	c.run(faultPeriod)
	return c.violation
}

// checkRecovery ends all faults. It checks that one host serves the database again, without the loss of any write acknowledged
// by a replica.
func (c *checker) checkRecovery() string {
	c.healAll()
	c.run(recoveryPeriod)
	serving := c.servingHosts("d0")
	if len(serving) != 1 {
		return fmt.Sprintf("served by %v after all faults ended", serving)
	}
	c.checkAbsence(c.databaseView(serving[0], "d0"))
	primary := c.instances[c.databaseView(serving[0], "d0").Primary]
	for _, item := range c.acks {
		if item.durability == model.DurabilityReplica && !primary.holds(item.value) {
			c.fail("write %d is missing at the end", item.value)
		}
	}
	return c.violation
}

func TestModel(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		c := newChecker(rapid.Uint64().Draw(t, "seed"))
		if got := c.runFaults(drawFaults(t)); got != "" {
			t.Fatalf("got %q, want no violation", got)
		}
		if got := c.checkRecovery(); got != "" {
			t.Fatalf("got %q, want recovery", got)
		}
		if len(c.acks) == 0 {
			t.Fatalf("got no acknowledged write, want some")
		}
	})
}

// TestModelFindsMissingRules disables one rule at a time and checks that the model test detects a violation.
func TestModelFindsMissingRules(t *testing.T) {
	const runs = 1000
	tests := map[string]struct {
		disable func(c *checker)
		kinds   []string // kinds of faults to inject; nil for all
	}{
		"no fencing": {disable: func(c *checker) {
			for _, f := range c.instances {
				f.ignoresFence = true
			}
		}, kinds: []string{"strand instance", "strand instance", "isolate pair", "heal"}},
		"promotion without a majority": {disable: func(c *checker) {
			c.forgeResult = func(action InstanceAction, result InstanceResult) InstanceResult {
				if action.Call == CallFence {
					result.Err = nil
					result.State = model.InstanceState{Instance: action.Instance.ID, Term: action.Term}
				}
				return result
			}
		}, kinds: []string{"crash instance", "crash instance", "start instance", "isolate instance", "heal"}},
		"acknowledgement without a witness": {disable: func(c *checker) { c.skipsWitnesses = true }},
		"service before a majority holds the start of the term": {disable: func(c *checker) {
			c.mutateEvent = func(event Event) Event {
				result, ok := event.(InstanceResult)
				if ok && result.Call == CallFollow && result.Err == nil {
					point := result.State.Point
					result.State.Timeline = append(slices.Clone(result.State.Timeline), model.Point{Term: result.Term, Position: point.Position})
					return result
				}
				return event
			}
		}, kinds: []string{"crash instance", "isolate instance", "isolate instance", "start instance", "heal"}},
		"takeover that keeps the term": {disable: func(c *checker) {
			c.mutateAction = func(action Action) Action {
				if commit, ok := action.(CommitRow); ok && commit.Row.Version > 0 {
					commit.Row.Term = c.store.rows[commit.Row.Database].Term
					return commit
				}
				return action
			}
		}},
		"row that names a primary before a majority is fenced": {disable: func(c *checker) {
			c.mutateAction = func(action Action) Action {
				if commit, ok := action.(CommitRow); ok && commit.Row.Primary == "" {
					commit.Row.Primary = commit.Row.Instances[c.random.IntN(3)]
					return commit
				}
				return action
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			kinds := faultKinds
			if test.kinds != nil {
				kinds = test.kinds
			}
			for seed := range uint64(runs) {
				c := newChecker(seed)
				test.disable(c)
				random := rand.New(rand.NewPCG(seed, 1))
				var faults []fault
				for range 1 + random.IntN(12) {
					faults = append(faults, fault{
						At:     random.IntN(int(faultPeriod / time.Millisecond)),
						Kind:   kinds[random.IntN(len(kinds))],
						Host:   random.IntN(3),
						Target: random.IntN(3),
					})
				}
				if violation := c.runFaults(faults); violation != "" {
					t.Logf("found in run %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("got no violation in %d runs, want one", runs)
		})
	}
}
