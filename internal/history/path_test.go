package history_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"redwingspread/internal/local"
	"redwingspread/internal/model"
	"redwingspread/internal/standin/fault"
	"redwingspread/pkg/client"
)

// The load of one end-to-end run.
const (
	pathSessions = 8
	pathRequests = 20 // per session
)

// pathDeadline is the deadline of a request. It is long enough for a busy machine, so that the result does not depend on the
// machine's speed.
const pathDeadline = time.Minute

// laggingReplicaLag is the replication lag of one of the two replicas; the other has the default lag of the plan.
const laggingReplicaLag = 300 * time.Millisecond

// startPath starts the Library's deployment and returns a client of each host.
func startPath(t *testing.T) (*local.Deployment, []*client.Client) {
	t.Helper()
	deployment := local.New(local.LibraryPlan())
	deployment.StopLimit = stopTimeout
	if err := deployment.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = deployment.Stop() })
	ready, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := deployment.AwaitReady(ready); err != nil {
		t.Fatal(err)
	}
	var clients []*client.Client
	for _, host := range deployment.Hosts {
		caller := client.New(host.Settings.CallerAddress)
		caller.Timeout = pathDeadline
		clients = append(clients, caller)
	}
	return deployment, clients
}

// TestWholePathKeepsTheAccount compares every session read with the state of its lamp that the session recorded, while
// endpoints lose or truncate responses or handle requests twice: no read may be stale and no write may end with an unknown outcome.
func TestWholePathKeepsTheAccount(t *testing.T) {
	tests := map[string]fault.Faults{
		"no faults":               {},
		"responses are lost":      {LoseAnswers: 0.1},
		"requests are duplicated": {DoubleRequests: 0.2},
		"responses are truncated": {CutAnswers: 0.1},
		"all faults":              {LoseAnswers: 0.05, DoubleRequests: 0.1, CutAnswers: 0.05},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			deployment, clients := startPath(t)
			var borrowers []*borrower
			for i := range pathSessions {
				session := &borrower{stats: &readStats{}, clients: clients, random: rand.New(rand.NewPCG(7, uint64(i))), lamp: fmt.Sprint("lamp-", i)}
				session.addLamp(context.Background(), t)
				borrowers = append(borrowers, session)
			}
			for _, id := range []model.InstanceID{"loans-1-a", "loans-1-b"} {
				deployment.Instances[id].Faults.Set(faults)
			}
			lag := laggingReplicaLag
			faults.Lag = &lag
			deployment.Instances["loans-1-c"].Faults.Set(faults)
			var sessions sync.WaitGroup
			for _, session := range borrowers {
				sessions.Go(func() { session.runRequests(context.Background(), pathRequests) })
			}
			sessions.Wait()
			for _, session := range borrowers {
				if session.stats.stale > 0 || len(session.stats.unknown) > 0 {
					t.Errorf("got %d reads of %s that differ from the state that the session recorded, and unknown outcomes of %v, want none", session.stats.stale, session.lamp, session.stats.unknown)
					t.Log(strings.Join(session.log, "\n"))
				}
				if session.stats.served == 0 {
					t.Errorf("got no successful read of %s, want some", session.lamp)
				}
			}
		})
	}
}

// runRequests runs a number of random requests.
func (b *borrower) runRequests(ctx context.Context, requests int) {
	for range requests {
		if b.random.IntN(2) == 0 {
			b.write(ctx)
		} else {
			b.read(ctx)
		}
	}
}

// recordUnknown records the request of an error that leaves the outcome of a write unknown.
func (b *borrower) recordUnknown(err error) {
	var refused *client.Error
	if errors.As(err, &refused) && !refused.NotRun {
		b.stats.unknown = append(b.stats.unknown, refused.Request)
	}
}
