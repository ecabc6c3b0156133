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

// The times of one round of the benchmark of failovers.
const (
	beforeFault = 500 * time.Millisecond
	afterFault  = 3 * time.Second
	readyLimit  = 20 * time.Second
)

// round is one deployment with a writer.
type round struct {
	*Deployment
	database model.DatabaseID
	owner    int
	primary  model.InstanceID
}

// newRound starts a deployment and finds the owner of its first database.
func newRound(b *testing.B) *round {
	r := &round{Deployment: New(Authority()), database: "enrolment-1"}
	r.StopLimit = 2 * time.Second
	if err := r.Start(b.Context()); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(b.Context(), readyLimit)
	defer cancel()
	if err := r.Ready(ctx); err != nil {
		r.explain(b)
		b.Fatal(err)
	}
	for index, host := range r.Hosts {
		if d := host.View().Databases[r.database]; d.Serving {
			r.owner = index
			r.primary = d.Primary
		}
	}
	return r
}

// writeEvery is the time between two writes, each of a caller of its own, and writeDeadline the time that one may take.
const (
	writeEvery    = 10 * time.Millisecond
	writeDeadline = 2 * time.Second
)

// journal gathers the writers' outcomes.
type journal struct {
	mu      sync.Mutex
	last    time.Time
	longest time.Duration
	refused int
}

// add takes the outcome of one write.
func (j *journal) add(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil {
		j.refused++
		return
	}
	j.longest = max(j.longest, time.Since(j.last))
	j.last = time.Now()
}

// begin forgets the time before the fault.
func (j *journal) begin() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.longest = 0
	j.refused = 0
}

// explain tells what each host knows when a deployment does not get ready.
func (r *round) explain(b *testing.B) {
	for _, host := range r.Hosts {
		select {
		case err := <-host.done:
			b.Logf("%s ended: %v", host.Settings.Host, err)
		default:
		}
		for id, d := range host.View().Databases {
			b.Logf("%s: %s owner %q term %d primary %q serving %v", host.Settings.Host, id, d.Owner, d.Term, d.Primary, d.Serving)
			for _, known := range d.Instances {
				b.Logf("  %s reachable %v role %s term %d", known.ID, known.Reachable, known.State.Role, known.State.Term)
			}
		}
	}
}

// writeGap writes through a host that stays, causes the fault, and returns the longest time in which no write ended well, and the refusals.
func (r *round) writeGap(ctx context.Context, cause func(*round)) (time.Duration, int) {
	kept := &journal{last: time.Now()}
	ended := make(chan struct{}, int((beforeFault+afterFault)/writeEvery)+1)
	caller := client.New(r.Hosts[(r.owner+1)%len(r.Hosts)].Settings.CallerAddress)
	caller.Timeout = writeDeadline
	ticker := time.NewTicker(writeEvery)
	defer ticker.Stop()
	begin, caused, sent := time.Now(), false, 0
	for time.Since(begin) < beforeFault+afterFault {
		<-ticker.C
		if !caused && time.Since(begin) >= beforeFault {
			caused = true
			kept.begin()
			cause(r)
		}
		sent++
		go r.write(ctx, caller, kept, ended)
	}
	kept.add(nil)
	longest, refused := kept.longest, kept.refused
	for range sent {
		<-ended
	}
	return longest, refused
}

// write makes one write of a session of its own.
func (r *round) write(ctx context.Context, caller *client.Client, kept *journal, ended chan<- struct{}) {
	_, err := caller.Session().Run(ctx, client.Statement{
		Database: r.database, Kind: "registration", Operation: "offer",
		Arguments: map[string]string{"section": "drawing-1", "capacity": "10"},
	})
	kept.add(err)
	ended <- struct{}{}
}

// isolatePrimary cuts the primary off from everything.
func isolatePrimary(r *round) {
	r.Instances[r.primary].Faults.Set(fault.Faults{IsolatedFrom: []fault.Sender{"*"}})
}

// BenchmarkFailover measures the gap in writes with hosts and stand-ins on loopback; each iteration is a deployment of its own.
func BenchmarkFailover(b *testing.B) {
	causes := map[string]func(*round){
		"nothing":           func(*round) {},
		"primary crashes":   func(r *round) { _ = r.StopInstance(r.primary) },
		"primary isolated":  isolatePrimary,
		"owner isolated":    func(r *round) { r.CutOff(r.owner, true) },
		"owner and primary": func(r *round) { r.CutOff(r.owner, true); isolatePrimary(r) },
		"primary leaves":    func(r *round) { r.Instances[r.primary].Faults.Set(fault.Faults{Leaving: true}) },
		"owner stops":       func(r *round) { go func() { _ = r.StopHost(r.owner) }() },
	}
	for name, cause := range causes {
		b.Run(strings.ReplaceAll(name, " ", "-"), func(b *testing.B) {
			var gaps []time.Duration
			refusals := 0
			for b.Loop() {
				r := newRound(b)
				gap, refused := r.writeGap(b.Context(), cause)
				gaps = append(gaps, gap)
				refusals += refused
				if err := r.Stop(); err != nil {
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
