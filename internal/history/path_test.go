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

// pathSessions is the number of sessions of a run on the whole path, and pathRequests the number of requests of each.
const (
	pathSessions = 8
	pathRequests = 20
)

// pathDeadline is long enough for a machine that other work keeps busy, so that the verdict does not depend on its speed.
const pathDeadline = time.Minute

// pathLag is the lag of the replica that lies behind the other one.
const pathLag = 300 * time.Millisecond

// startPath starts a deployment of the Library and returns a client of each host.
func startPath(t *testing.T) (*local.Deployment, []*client.Client) {
	t.Helper()
	deployment := local.New(local.Library())
	deployment.StopLimit = stopLimit
	if err := deployment.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = deployment.Stop() })
	limited, cancel := context.WithTimeout(context.Background(), readyTime)
	defer cancel()
	if err := deployment.Ready(limited); err != nil {
		t.Fatal(err)
	}
	var clients []*client.Client
	for _, host := range deployment.Hosts {
		made := client.New(host.Settings.CallerAddress)
		made.Timeout = pathDeadline
		clients = append(clients, made)
	}
	return deployment, clients
}

func TestWholePathKeepsTheAccount(t *testing.T) {
	tests := map[string]fault.Faults{
		"no faults":          {},
		"answers are lost":   {LoseAnswers: 0.1},
		"requests run twice": {DoubleRequests: 0.2},
		"answers are cut":    {CutAnswers: 0.1},
		"all together":       {LoseAnswers: 0.05, DoubleRequests: 0.1, CutAnswers: 0.05},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			deployment, clients := startPath(t)
			var borrowers []*borrower
			for i := range pathSessions {
				one := &borrower{share: &share{}, clients: clients, random: rand.New(rand.NewPCG(7, uint64(i))), lamp: fmt.Sprint("lamp-", i)}
				one.stock(context.Background(), t)
				borrowers = append(borrowers, one)
			}
			for _, id := range []model.InstanceID{"loans-1-a", "loans-1-b"} {
				deployment.Instances[id].Faults.Set(faults)
			}
			lag := pathLag
			faults.Lag = &lag
			deployment.Instances["loans-1-c"].Faults.Set(faults)
			var sessions sync.WaitGroup
			for _, one := range borrowers {
				sessions.Go(func() { one.request(context.Background(), pathRequests) })
			}
			sessions.Wait()
			for _, one := range borrowers {
				if one.share.stale > 0 || len(one.share.unknown) > 0 {
					t.Errorf("got %d reads of %s that differ from its own account and unknown outcomes %v, want none", one.share.stale, one.lamp, one.share.unknown)
					t.Log(strings.Join(one.trail, "\n"))
				}
				if one.share.reads == 0 {
					t.Errorf("got no read of %s answered, want some", one.lamp)
				}
			}
		})
	}
}

// request runs a number of requests.
func (b *borrower) request(ctx context.Context, requests int) {
	for range requests {
		if b.random.IntN(2) == 0 {
			b.write(ctx)
		} else {
			b.look(ctx)
		}
	}
}

// doubt notes a write whose outcome the session was not told.
func (b *borrower) doubt(err error) {
	var refused *client.Error
	if errors.As(err, &refused) && !refused.NotRun {
		b.share.unknown = append(b.share.unknown, refused.Request)
	}
}
