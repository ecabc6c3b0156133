package history_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"redwingspread/internal/local"
	"redwingspread/internal/model"
	"redwingspread/internal/route"
	"redwingspread/internal/standin/fault"
	"redwingspread/pkg/client"
)

// The load and the timeouts of one measurement.
const (
	shareSessions      = 16
	measureTime        = 4 * time.Second
	thinkTime          = 100 * time.Millisecond // mean time between the requests of a session
	writePercent       = 10                     // percentage of requests
	boundedReadPercent = 30                     // percentage of reads with bounded staleness, which send no session token
	readyTimeout       = 10 * time.Second
	stopTimeout        = 100 * time.Millisecond
)

// readStats holds the results of one measurement.
type readStats struct {
	mutex                              sync.Mutex
	served, onReplicas, stale, refused int
	sessionReads, sessionOnReplicas    int
	latencies                          []time.Duration
	unknown                            []model.RequestID
}

// borrower is one session that lends, returns and reads a lamp of its own, each time through a random host.
type borrower struct {
	stats   *readStats
	clients []*client.Client
	random  *rand.Rand
	lamp    string
	token   string
	loans   int // number of acknowledged loans
	lent    bool
	log     []string // result of each request, printed when the test fails
}

// logf adds a line to the log.
func (b *borrower) logf(format string, arguments ...any) {
	b.log = append(b.log, time.Now().Format("05.000 ")+fmt.Sprintf(format, arguments...))
}

// run runs a statement through a random host and returns the session token to send next.
func (b *borrower) run(ctx context.Context, statement client.Statement, token string) (client.Result, string, error) {
	session := b.clients[b.random.IntN(len(b.clients))].Resume(token)
	statement.Database = "loans-1"
	result, err := session.Run(ctx, statement)
	return result, session.Token(), err
}

// addLamp adds the lamp to the stock.
func (b *borrower) addLamp(ctx context.Context, t testing.TB) {
	_, token, err := b.run(ctx, client.Statement{Kind: "return", Operation: "stock", Arguments: map[string]string{"lamp": b.lamp, "branch": "north"}}, "")
	if err != nil {
		t.Fatal(err)
	}
	b.token = token
}

// write lends the lamp, or returns it if it is lent.
func (b *borrower) write(ctx context.Context) {
	statement := client.Statement{Kind: "checkout", Operation: "checkout", Arguments: map[string]string{"lamp": b.lamp, "borrower": b.lamp}}
	if b.lent {
		statement = client.Statement{Kind: "return", Operation: "return", Arguments: map[string]string{"lamp": b.lamp, "branch": "north"}}
	}
	result, token, err := b.run(ctx, statement, b.token)
	b.token = token
	b.logf("%s %s: done %v, durability %s, repeated %v, %s, error %v", statement.Operation, result.Request, result.Done, result.Durability, result.Repeated, result.Instance, err)
	b.recordUnknown(err)
	if err != nil || !result.Done {
		return
	}
	b.lent = !b.lent
	if b.lent {
		b.loans++
	}
}

// read reads the lamp and counts the result; a session read that differs from what the session's
// acknowledged writes left is stale.
func (b *borrower) read(ctx context.Context) {
	bounded := b.random.IntN(100) < boundedReadPercent
	statement := client.Statement{Kind: "counter", Operation: "lamp", Read: true, Arguments: map[string]string{"lamp": b.lamp}}
	token := b.token
	if bounded {
		statement.Kind, token = "catalogue", ""
	}
	start := time.Now()
	result, next, err := b.run(ctx, statement, token)
	latency := time.Since(start)
	if !bounded {
		b.token = next
	}
	b.stats.mutex.Lock()
	defer b.stats.mutex.Unlock()
	b.logf("read, bounded %v: %v from %s, want %d loans, lent %v, error %v", bounded, result.Rows, result.Instance, b.loans, b.lent, err)
	if err != nil {
		b.stats.refused++
		return
	}
	b.stats.served++
	b.stats.latencies = append(b.stats.latencies, latency)
	if result.Role == model.RoleReplica {
		b.stats.onReplicas++
	}
	if bounded {
		return
	}
	b.stats.sessionReads++
	if result.Role == model.RoleReplica {
		b.stats.sessionOnReplicas++
	}
	if len(result.Rows) != 1 || result.Rows[0]["loans"] != strconv.Itoa(b.loans) || (result.Rows[0]["borrower"] != "") != b.lent {
		b.stats.stale++
	}
}

// runTimed runs random requests until the context ends.
func (b *borrower) runTimed(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(b.random.ExpFloat64() * float64(thinkTime)))
		if b.random.IntN(100) < writePercent {
			b.write(context.Background())
		} else {
			b.read(context.Background())
		}
	}
}

// measureShare runs all sessions against the Library's deployment whose replicas have the given lags.
func measureShare(b *testing.B, choose route.Chooser, lags [2]time.Duration) *readStats {
	deployment := local.New(local.LibraryPlan())
	deployment.Choose = choose
	deployment.StopLimit = stopTimeout
	ctx := context.Background()
	if err := deployment.Start(ctx); err != nil {
		b.Fatal(err)
	}
	defer deployment.Stop()
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := deployment.AwaitReady(ready); err != nil {
		b.Fatal(err)
	}
	var clients []*client.Client
	for _, host := range deployment.Hosts {
		clients = append(clients, client.New(host.Settings.CallerAddress))
	}
	stats := &readStats{}
	var borrowers []*borrower
	for i := range shareSessions {
		session := &borrower{stats: stats, clients: clients, random: rand.New(rand.NewPCG(5, uint64(i))), lamp: fmt.Sprint("lamp-", i)}
		session.addLamp(ctx, b)
		borrowers = append(borrowers, session)
	}
	for i, lag := range lags {
		id := model.InstanceID([]string{"loans-1-b", "loans-1-c"}[i])
		deployment.Instances[id].Faults.Set(fault.Faults{Lag: &lag})
	}
	timed, stop := context.WithTimeout(ctx, measureTime)
	defer stop()
	var sessions sync.WaitGroup
	for _, session := range borrowers {
		sessions.Go(func() { session.runTimed(timed) })
	}
	sessions.Wait()
	return stats
}

// BenchmarkShare measures on loopback the share of reads served by replicas, the number of stale session reads and the read
// latency.
func BenchmarkShare(b *testing.B) {
	lags := map[string][2]time.Duration{
		"lag=10ms":  {10 * time.Millisecond, 10 * time.Millisecond},
		"lag=100ms": {100 * time.Millisecond, 100 * time.Millisecond},
		"lag=1s":    {time.Second, time.Second},
		"lag=10s":   {10 * time.Second, 10 * time.Second},
		"lag=mixed": {10 * time.Millisecond, 10 * time.Second},
	}
	choosers := map[string]route.Chooser{
		"choose": route.Choose, "primary": route.AllPrimary, "lag-limit": route.LagLimit(model.Age(time.Second)),
	}
	for lag, values := range lags {
		for chooser, choose := range choosers {
			b.Run(lag+"/"+chooser, func(b *testing.B) {
				for b.Loop() {
					got := measureShare(b, choose, values)
					slices.Sort(got.latencies)
					b.ReportMetric(100*float64(got.onReplicas)/float64(got.served), "%replica")
					b.ReportMetric(100*float64(got.sessionOnReplicas)/float64(max(1, got.sessionReads)), "%session-replica")
					b.ReportMetric(float64(got.served), "reads")
					b.ReportMetric(float64(got.stale), "stale")
					b.ReportMetric(float64(got.refused), "refused")
					b.ReportMetric(float64(got.latencies[len(got.latencies)/2].Microseconds()), "p50-us")
					b.ReportMetric(float64(got.latencies[len(got.latencies)*99/100].Microseconds()), "p99-us")
				}
			})
		}
	}
}
