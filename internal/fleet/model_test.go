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

// The model drives the machines and the rule of acknowledgement against faults at random times.
const (
	modelFaults = 6 * time.Second  // length of the time with faults
	modelHeal   = 30 * time.Second // time to recover in once all is mended
	modelWrite  = 15 * time.Millisecond
	modelCopy   = 20 * time.Millisecond
)

// acked is one acknowledged write.
type acked struct {
	value      int
	term       model.Term
	instance   model.InstanceID
	durability model.Durability
	committed  time.Time
}

// promotion is one instance that became primary, and its log then.
type promotion struct {
	term     model.Term
	instance model.InstanceID
	at       time.Time
	values   map[int]bool
}

// checker looks for broken promises.
type checker struct {
	*world
	random     *rand.Rand
	unprobed   bool // acknowledges without a witness: a rule taken out
	value      int
	acks       []acked
	promotions []promotion
	writers    map[model.Term]model.InstanceID
	terms      map[string]model.Term
	written    map[int]model.Term // term of each value that an instance took
	dead       map[int]model.Term // values that a primary served in the term did not have, so that their absence was told
	broken     string
}

// newChecker returns a model with messages of random length.
func newChecker(seed uint64) *checker {
	c := &checker{
		world:   newWorld(3, 1),
		random:  rand.New(rand.NewPCG(seed, seed)),
		writers: make(map[model.Term]model.InstanceID),
		terms:   make(map[string]model.Term),
		written: make(map[int]model.Term),
		dead:    make(map[int]model.Term),
	}
	c.delay = func() time.Duration {
		if c.random.IntN(20) == 0 {
			return time.Duration(c.random.IntN(600)) * time.Millisecond
		}
		return time.Duration(1+c.random.IntN(20)) * time.Millisecond
	}
	c.onCall = c.watch
	c.tears = func() bool { return c.random.IntN(2) == 0 }
	c.writing()
	c.copying()
	return c
}

// fail records the first broken promise.
func (c *checker) fail(format string, arguments ...any) {
	if c.broken == "" {
		c.broken = fmt.Sprintf(format, arguments...)
	}
}

// rises checks that a term never falls.
func (c *checker) rises(name string, term model.Term) {
	if term < c.terms[name] {
		c.fail("%s: term fell from %d to %d", name, c.terms[name], term)
	}
	c.terms[name] = term
}

// watch checks each call that had an effect on an instance.
func (c *checker) watch(f *fakeInstance, action InstanceAction) {
	c.rises(string(f.place.ID), f.term)
	c.rises("row", c.store.rows[f.place.Database].Term)
	if action.Call != CallPromote {
		return
	}
	for _, item := range c.promotions {
		if item.term == f.term && item.instance == f.place.ID {
			return
		}
	}
	made := promotion{term: f.term, instance: f.place.ID, at: c.now, values: make(map[int]bool)}
	for _, item := range f.log {
		made.values[item.value] = true
	}
	c.promotions = append(c.promotions, made)
	for _, item := range c.acks {
		c.check(item, made)
	}
}

// check compares one acknowledged write with one promotion.
func (c *checker) check(write acked, made promotion) {
	if made.term <= write.term {
		return
	}
	if write.durability == model.DurabilityReplica && !made.values[write.value] {
		c.fail("write %d of term %d was acknowledged by a replica and is missing in %s of term %d", write.value, write.term, made.instance, made.term)
	}
	if made.instance != write.instance && made.at.Before(write.committed) {
		c.fail("write %d of term %d was made on %s after %s had become primary of term %d", write.value, write.term, write.instance, made.instance, made.term)
	}
}

// copying lets the replicas copy some entries again and again.
func (c *checker) copying() {
	for _, id := range c.instanceIDs() {
		f := c.instances[id]
		if f.role == model.RoleReplica && c.random.IntN(3) > 0 && c.reaches(string(f.place.ID), string(f.leader)) {
			f.replicate(c.random.IntN(4))
		}
	}
	c.after(modelCopy, c.copying)
}

// instanceIDs returns the instances in order.
func (w *world) instanceIDs() []model.InstanceID {
	var ids []model.InstanceID
	for id := range w.instances {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// hostIDs returns the hosts in order.
func (w *world) hostIDs() []model.HostID {
	var ids []model.HostID
	for id := range w.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// writing lets every host that thinks it serves the database write again and again.
func (c *checker) writing() {
	for _, id := range c.hostIDs() {
		h := c.hosts[id]
		if d := h.machine.Snapshot().Databases["d0"]; !h.down && !h.paused && d != nil && d.Serving {
			c.write(h, d)
		}
	}
	c.after(modelWrite, c.writing)
}

// write sends one write in the owner's term.
func (c *checker) write(h *fakeHost, d *view.Database) {
	from, to := string(h.host.ID), string(d.Primary)
	if c.random.IntN(16) == 0 {
		c.absent(d)
	}
	c.value++
	value, run := c.value, h.machine
	c.after(c.delay(), func() {
		if !c.reaches(from, to) {
			return
		}
		f := c.instances[d.Primary]
		point, ok := f.write(d.Term, value)
		if !ok {
			return
		}
		if writer := c.writers[point.Term]; writer != "" && writer != f.place.ID {
			c.fail("%s and %s both wrote in term %d", writer, f.place.ID, point.Term)
		}
		c.writers[point.Term] = f.place.ID
		c.written[value] = point.Term
		write := acked{value: value, term: d.Term, instance: d.Primary, committed: c.now}
		if c.reaches(to, from) {
			c.after(c.delay(), func() { c.onHost(h, run, func() { c.settle(h, run, d, write, point) }) })
		}
	})
}

// absent checks a served primary: what an earlier served one lacked must not be there, and what it lacks itself must not come back.
func (c *checker) absent(d *view.Database) {
	f := c.instances[d.Primary]
	if f.role != model.RolePrimary || f.term != d.Term {
		return
	}
	has := make(map[int]bool, len(f.log))
	for _, item := range f.log {
		has[item.value] = true
		if told := c.dead[item.value]; told > 0 && told < d.Term {
			c.fail("write %d of term %d was absent in a served log and is back in term %d", item.value, item.term, d.Term)
		}
	}
	for value, term := range c.written {
		if told := c.dead[value]; term < d.Term && !has[value] && (told == 0 || told > d.Term) {
			c.dead[value] = d.Term
		}
	}
}

// settle probes the witnesses of a write and acknowledges it when the rule allows.
func (c *checker) settle(h *fakeHost, run *Machine, d *view.Database, write acked, point model.Point) {
	if c.unprobed {
		write.durability = model.DurabilityPrimary
		c.acknowledge(write)
		return
	}
	tally := &ack.Tally{Term: d.Term, Point: point, GroupSize: len(d.Group)}
	take := func() {
		reached, ok := tally.Durability()
		if ok && reached != write.durability {
			write.durability = reached
			c.acknowledge(write)
		}
	}
	for _, id := range d.Group {
		if id != d.Primary {
			c.ask(h, run, string(id), func() func() {
				state := c.instances[id].state()
				return func() { tally.AddReplica(state); take() }
			})
		}
	}
	c.ask(h, run, "store", func() func() {
		row := c.store.rows[d.ID]
		return func() { tally.AddRow(row); take() }
	})
}

// ask carries a question from a host and its answer back; either may be late or lost.
func (c *checker) ask(h *fakeHost, run *Machine, to string, serve func() func()) {
	from := string(h.host.ID)
	c.after(c.delay(), func() {
		f := c.instances[model.InstanceID(to)]
		gone := f != nil && f.down || to == "store" && c.store.down
		if gone || !c.reaches(from, to) || !c.reaches(to, from) {
			return
		}
		answer := serve()
		c.after(c.delay(), func() { c.onHost(h, run, answer) })
	})
}

// acknowledge records a write and checks it against every promotion so far.
func (c *checker) acknowledge(write acked) {
	c.acks = append(c.acks, write)
	for _, made := range c.promotions {
		c.check(write, made)
	}
}

// play runs the schedule and returns the first broken promise.
func (c *checker) play(faults []fault) string {
	c.run(settled)
	for _, f := range faults {
		c.after(time.Duration(f.At)*time.Millisecond, func() { c.cause(f) })
	}
	c.run(modelFaults)
	return c.broken
}

// recover mends everything and checks that the database is served again by one host, with all that was promised.
func (c *checker) recover() string {
	c.mend()
	c.run(modelHeal)
	serving := c.serving("d0")
	if len(serving) != 1 {
		return fmt.Sprintf("served by %v after all was mended", serving)
	}
	c.absent(c.database(serving[0], "d0"))
	primary := c.instances[c.database(serving[0], "d0").Primary]
	for _, item := range c.acks {
		if item.durability == model.DurabilityReplica && !primary.holds(item.value) {
			c.fail("write %d is missing at the end", item.value)
		}
	}
	return c.broken
}

func TestModel(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		c := newChecker(rapid.Uint64().Draw(t, "seed"))
		if got := c.play(drawFaults(t)); got != "" {
			t.Fatalf("got %q, want no broken promise", got)
		}
		if got := c.recover(); got != "" {
			t.Fatalf("got %q, want recovery", got)
		}
		if len(c.acks) == 0 {
			t.Fatalf("got no acknowledged write, want some")
		}
	})
}

// TestModelFindsMissingRules takes one rule out at a time and wants the model to notice.
func TestModelFindsMissingRules(t *testing.T) {
	const runs = 1000
	tests := map[string]struct {
		takeOut func(c *checker)
		kinds   []string // faults to cause; nil for all
	}{
		"no fencing": {takeOut: func(c *checker) {
			for _, f := range c.instances {
				f.unfenced = true
			}
		}, kinds: []string{"corner", "corner", "split", "heal"}},
		"promotion without a majority": {takeOut: func(c *checker) {
			c.forge = func(action InstanceAction, result InstanceResult) InstanceResult {
				if action.Call == CallFence {
					result.Err = nil
					result.State = model.InstanceState{Instance: action.Instance.ID, Term: action.Term}
				}
				return result
			}
		}, kinds: []string{"crash instance", "crash instance", "start instance", "isolate instance", "heal"}},
		"acknowledging without a witness": {takeOut: func(c *checker) { c.unprobed = true }},
		"serving before a majority holds the start of the term": {takeOut: func(c *checker) {
			c.hear = func(event Event) Event {
				result, ok := event.(InstanceResult)
				if ok && result.Call == CallFollow && result.Err == nil {
					point := result.State.Point
					result.State.Timeline = append(slices.Clone(result.State.Timeline), model.Point{Term: result.Term, Position: point.Position})
					return result
				}
				return event
			}
		}, kinds: []string{"crash instance", "isolate instance", "isolate instance", "start instance", "heal"}},
		"takeover that keeps the term": {takeOut: func(c *checker) {
			c.mutate = func(action Action) Action {
				if commit, ok := action.(CommitRow); ok && commit.Row.Version > 0 {
					commit.Row.Term = c.store.rows[commit.Row.Database].Term
					return commit
				}
				return action
			}
		}},
		"row that names a primary before a majority is fenced": {takeOut: func(c *checker) {
			c.mutate = func(action Action) Action {
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
				test.takeOut(c)
				random := rand.New(rand.NewPCG(seed, 1))
				var faults []fault
				for range 1 + random.IntN(12) {
					faults = append(faults, fault{
						At:     random.IntN(int(modelFaults / time.Millisecond)),
						Kind:   kinds[random.IntN(len(kinds))],
						Host:   random.IntN(3),
						Target: random.IntN(3),
					})
				}
				if broken := c.play(faults); broken != "" {
					t.Logf("found in run %d: %s", seed, broken)
					return
				}
			}
			t.Errorf("got no broken promise in %d runs, want one", runs)
		})
	}
}
