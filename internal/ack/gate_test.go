package ack

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// fakeReplica is a replica that answers probes after a delay, or never.
type fakeReplica struct {
	endpoint.Instance
	id     model.InstanceID
	delay  time.Duration
	silent bool
	probes atomic.Int64

	mu    sync.Mutex
	state model.InstanceState
}

// set changes the replica's state.
func (f *fakeReplica) set(term model.Term, point model.Point) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = model.InstanceState{Instance: f.id, Term: term, Point: point, Timeline: model.Timeline{{Term: term}}}
}

// current returns the replica's state.
func (f *fakeReplica) current() model.InstanceState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *fakeReplica) State(ctx context.Context) (model.InstanceState, error) {
	return f.Await(ctx, model.Point{}, 0)
}

func (f *fakeReplica) Await(ctx context.Context, least model.Point, limit time.Duration) (model.InstanceState, error) {
	f.probes.Add(1)
	if f.silent {
		<-ctx.Done()
		return model.InstanceState{}, ctx.Err()
	}
	for waited := time.Duration(0); waited < limit && f.current().Point.Compare(least) < 0; waited += time.Millisecond {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(f.delay)
	return f.current(), nil
}

// fixture is a gate for a group of three instances.
type fixture struct {
	gate     *Gate
	replicas map[model.InstanceID]*fakeReplica
	row      model.Ownership
	rowError error
	database *view.Database
}

// newFixture returns a gate whose replicas are in term 5 and hold no write of it.
func newFixture() *fixture {
	f := &fixture{
		gate:     New(),
		replicas: make(map[model.InstanceID]*fakeReplica),
		row:      model.Ownership{Term: 5},
		database: &view.Database{ID: "d", Term: 5, Primary: "a", Group: []model.InstanceID{"a", "b", "c"}},
	}
	for _, id := range f.database.Group {
		f.replicas[id] = &fakeReplica{id: id, delay: time.Millisecond}
		f.replicas[id].set(5, model.Point{Term: 5})
		f.database.Instances = append(f.database.Instances, view.Instance{Instance: model.Instance{ID: id}, Reachable: true})
	}
	f.gate.Client = func(instance model.Instance) endpoint.Instance { return f.replicas[instance.ID] }
	f.gate.ReadRow = func(context.Context, model.DatabaseID) (model.Ownership, error) { return f.row, f.rowError }
	return f
}

func TestAwaitDurability(t *testing.T) {
	write := model.Point{Term: 5, Position: 10}
	tests := map[string]struct {
		prepare func(f *fixture)
		want    model.Durability
		reached model.Durability
		fail    bool
		within  time.Duration
	}{
		"one replica in the term, durability primary": {want: model.DurabilityPrimary, reached: model.DurabilityPrimary, within: 2 * time.Millisecond},
		"one replica holds the write": {
			prepare: func(f *fixture) { f.replicas["b"].set(5, write) },
			want:    model.DurabilityReplica,
			reached: model.DurabilityReplica,
			within:  2 * time.Millisecond,
		},
		"one replica receives the write later": {
			prepare: func(f *fixture) { time.AfterFunc(300*time.Millisecond, func() { f.replicas["c"].set(5, write) }) },
			want:    model.DurabilityReplica,
			reached: model.DurabilityReplica,
			within:  310 * time.Millisecond,
		},
		"no replica receives the write in time": {want: model.DurabilityReplica, reached: model.DurabilityPrimary, within: time.Second},
		"no replica answers, row in the term": {
			prepare: func(f *fixture) { f.replicas["b"].silent, f.replicas["c"].silent = true, true },
			want:    model.DurabilityPrimary,
			reached: model.DurabilityPrimary,
			within:  60 * time.Millisecond,
		},
		"no replica reachable, none waited for": {
			prepare: func(f *fixture) {
				for i := range f.database.Instances {
					f.database.Instances[i].Reachable = false
				}
			},
			want:    model.DurabilityReplica,
			reached: model.DurabilityPrimary,
			within:  2 * time.Millisecond,
		},
		"no replica answers, row in a higher term": {
			prepare: func(f *fixture) { f.replicas["b"].silent, f.replicas["c"].silent, f.row.Term = true, true, 6 },
			want:    model.DurabilityPrimary,
			fail:    true,
			within:  time.Second,
		},
		"no replica answers, store down": {
			prepare: func(f *fixture) {
				f.replicas["b"].silent, f.replicas["c"].silent, f.rowError = true, true, errors.New("down")
			},
			want:   model.DurabilityPrimary,
			fail:   true,
			within: time.Second,
		},
		"both replicas are fenced": {
			prepare: func(f *fixture) {
				f.row.Term = 6
				f.replicas["b"].set(6, write)
				f.replicas["c"].set(6, write)
			},
			want:   model.DurabilityReplica,
			fail:   true,
			within: time.Second,
		},
		"store down, one replica answers": {
			prepare: func(f *fixture) { f.replicas["b"].silent, f.rowError = true, errors.New("down") },
			want:    model.DurabilityPrimary,
			reached: model.DurabilityPrimary,
			within:  2 * time.Millisecond,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				if test.prepare != nil {
					test.prepare(f)
				}
				start := time.Now()
				reached, err := f.gate.AwaitDurability(t.Context(), f.database, write, test.want)
				if (err != nil) != test.fail || err == nil && reached != test.reached {
					t.Errorf("got durability %s and error %v, want %s and an error: %v", reached, err, test.reached, test.fail)
				}
				var refusal *model.Refusal
				if err != nil && (!errors.As(err, &refusal) || refusal.NotRun || refusal.Code != model.CodeOutcomeUnknown) {
					t.Errorf("got error %v, want an unknown outcome", err)
				}
				if took := time.Since(start); took > test.within {
					t.Errorf("got an answer after %v, want at most %v", took, test.within)
				}
				synctest.Wait()
				if got := len(f.gate.batches); got != 0 {
					t.Errorf("got %d batches left, want none", got)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestSharedProbes checks that concurrent writes share probes.
func TestSharedProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const writes = 500
		f := newFixture()
		ended := make(chan error, writes)
		for range writes {
			go func() {
				_, err := f.gate.AwaitDurability(t.Context(), f.database, model.Point{Term: 5, Position: 1}, model.DurabilityPrimary)
				ended <- err
			}()
		}
		for range writes {
			if err := <-ended; err != nil {
				t.Fatalf("got %v, want no error", err)
			}
		}
		if got := f.replicas["b"].probes.Load(); got > 3 {
			t.Errorf("got %d probes of one replica for %d writes, want at most 3", got, writes)
		}
		time.Sleep(time.Second)
	})
}

// TestProbeCountsOnlyForEarlierWrites checks that a probe proves nothing for a write committed while it was under way.
func TestProbeCountsOnlyForEarlierWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.replicas["c"].silent = true
		f.rowError = errors.New("down")
		f.replicas["b"].delay = 20 * time.Millisecond
		ended := make(chan error, 1)
		go func() {
			_, err := f.gate.AwaitDurability(t.Context(), f.database, model.Point{Term: 5, Position: 1}, model.DurabilityPrimary)
			ended <- err
		}()
		time.Sleep(10 * time.Millisecond)
		start := time.Now()
		_, err := f.gate.AwaitDurability(t.Context(), f.database, model.Point{Term: 5, Position: 2}, model.DurabilityPrimary)
		if err != nil || <-ended != nil {
			t.Fatalf("got %v, want no error", err)
		}
		if took := time.Since(start); took < 30*time.Millisecond {
			t.Errorf("got an answer after %v, want it from the next probe, 30ms at least", took)
		}
		time.Sleep(time.Second)
	})
}

// BenchmarkAwaitDurability measures many concurrent writes, with replicas that answer without delay.
func BenchmarkAwaitDurability(b *testing.B) {
	for _, want := range []model.Durability{model.DurabilityPrimary, model.DurabilityReplica} {
		b.Run(fmt.Sprint(want), func(b *testing.B) {
			f := newFixture()
			for _, replica := range f.replicas {
				replica.delay = 0
				replica.set(5, model.Point{Term: 5, Position: 1})
			}
			b.ReportAllocs()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if _, err := f.gate.AwaitDurability(b.Context(), f.database, model.Point{Term: 5, Position: 1}, want); err != nil {
						b.Fatal(err)
					}
				}
			})
			probes := f.replicas["b"].probes.Load() + f.replicas["c"].probes.Load()
			b.ReportMetric(float64(probes)/float64(b.N), "probes/op")
		})
	}
}
