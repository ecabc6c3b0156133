package local

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/standin/fault"
	"redwingspread/pkg/client"
)

// The phases of one failover trial, and the time limit of its start.
const (
	beforeFault  = 500 * time.Millisecond
	afterFault   = 3 * time.Second
	readyTimeout = 20 * time.Second
)

// trial is a deployment, with the owner and the primary of the database that is written to.
type trial struct {
	*Deployment
	database model.DatabaseID
	owner    int // index of the host that owns the database
	primary  model.InstanceID
}

// newTrial starts a deployment and looks up the owner and the primary of its first database.
func newTrial(b *testing.B) *trial {
	t := &trial{Deployment: New(AuthorityPlan()), database: "enrolment-1"}
	t.StopLimit = 2 * time.Second
	if err := t.Start(b.Context()); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(b.Context(), readyTimeout)
	defer cancel()
	if err := t.AwaitReady(ctx); err != nil {
		t.logState(b)
		b.Fatal(err)
	}
	for index, host := range t.Hosts {
		if d := host.View().Databases[t.database]; d.Serving {
			t.owner = index
			t.primary = d.Primary
		}
	}
	return t
}

// The load of one trial; each write is a session of its own.
const (
	writeInterval = 10 * time.Millisecond // between the starts of two writes
	writeDeadline = 2 * time.Second
)

// gapRecorder records the longest gap between successful writes, and the number of refusals.
type gapRecorder struct {
	mu         sync.Mutex
	lastWrite  time.Time
	longestGap time.Duration
	refused    int
}

// record adds the outcome of a write.
func (r *gapRecorder) record(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.refused++
		return
	}
	r.longestGap = max(r.longestGap, time.Since(r.lastWrite))
	r.lastWrite = time.Now()
}

// reset discards the results from before the fault, except the time of the last write.
func (r *gapRecorder) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.longestGap = 0
	r.refused = 0
}

// logState logs each host's view, to diagnose a deployment that does not become ready.
func (t *trial) logState(b *testing.B) {
	for _, host := range t.Hosts {
		select {
		case err := <-host.done:
			b.Logf("host %s stopped: %v", host.Settings.Host, err)
		default:
		}
		for id, d := range host.View().Databases {
			b.Logf("%s: %s owner %q term %d primary %q serving %v", host.Settings.Host, id, d.Owner, d.Term, d.Primary, d.Serving)
			for _, known := range d.Instances {
				b.Logf("  instance %s reachable %v role %s term %d", known.ID, known.Reachable, known.State.Role, known.State.Term)
			}
		}
	}
}

// measureGap writes through a host other than the owner, injects the fault, and returns the longest gap between successful
// writes that ends after the fault, and the number of refusals after the fault.
func (t *trial) measureGap(ctx context.Context, inject func(*trial)) (time.Duration, int) {
	gaps := &gapRecorder{lastWrite: time.Now()}
	done := make(chan struct{}, int((beforeFault+afterFault)/writeInterval)+1)
	caller := client.New(t.Hosts[(t.owner+1)%len(t.Hosts)].Settings.CallerAddress)
	caller.Timeout = writeDeadline
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	start, injected, sent := time.Now(), false, 0
	for time.Since(start) < beforeFault+afterFault {
		<-ticker.C
		if !injected && time.Since(start) >= beforeFault {
			injected = true
			gaps.reset()
			inject(t)
		}
		sent++
		go t.write(ctx, caller, gaps, done)
	}
	gaps.record(nil)
	longest, refused := gaps.longestGap, gaps.refused
	for range sent {
		<-done
	}
	return longest, refused
}

// write runs one write in a new session.
func (t *trial) write(ctx context.Context, caller *client.Client, gaps *gapRecorder, done chan<- struct{}) {
	_, err := caller.Session().Run(ctx, client.Statement{
		Database: t.database, Kind: "registration", Operation: "offer",
		Arguments: map[string]string{"section": "drawing-1", "capacity": "10"},
	})
	gaps.record(err)
	done <- struct{}{}
}

// isolatePrimary isolates the primary from all other parties.
func isolatePrimary(t *trial) {
	t.Instances[t.primary].Faults.Set(fault.Faults{IsolatedFrom: []fault.Sender{"*"}})
}

// BenchmarkFailover measures the gap in successful writes on loopback, with a new deployment for each iteration.
func BenchmarkFailover(b *testing.B) {
	injections := map[string]func(*trial){
		"nothing":           func(*trial) {},
		"primary crashes":   func(t *trial) { _ = t.StopInstance(t.primary) },
		"primary isolated":  isolatePrimary,
		"owner isolated":    func(t *trial) { t.SetIsolated(t.owner, true) },
		"owner and primary": func(t *trial) { t.SetIsolated(t.owner, true); isolatePrimary(t) },
		"primary leaves":    func(t *trial) { t.Instances[t.primary].Faults.Set(fault.Faults{Leaving: true}) },
		"owner stops":       func(t *trial) { go func() { _ = t.StopHost(t.owner) }() },
	}
	for name, inject := range injections {
		b.Run(strings.ReplaceAll(name, " ", "-"), func(b *testing.B) {
			var gaps []time.Duration
			refusals := 0
			for b.Loop() {
				t := newTrial(b)
				gap, refused := t.measureGap(b.Context(), inject)
				gaps = append(gaps, gap)
				refusals += refused
				if err := t.Stop(); err != nil {
					b.Logf("stop: %v", err)
				}
			}
			slices.Sort(gaps)
			b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "median-ms")
			b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "worst-ms")
			b.ReportMetric(float64(refusals)/float64(len(gaps)), "refused/op")
		})
	}
}
