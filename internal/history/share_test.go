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

// The work of one measurement.
const (
	shareSessions = 16
	shareTime     = 4 * time.Second
	shareThink    = 100 * time.Millisecond // mean time between two requests of a session
	shareWrites   = 10                     // in a hundred requests
	shareAged     = 30                     // in a hundred reads: of an accepted age, without a token
	readyTime     = 10 * time.Second
	stopLimit     = 100 * time.Millisecond
)

// share counts the reads of one measurement.
type share struct {
	mutex                           sync.Mutex
	reads, replicas, stale, refused int
	sessionReads, sessionOnReplicas int
	latencies                       []time.Duration
	unknown                         []model.RequestID
}

// borrower is one session that lends its own lamp and looks at it, each time through any host.
type borrower struct {
	share   *share
	clients []*client.Client
	random  *rand.Rand
	lamp    string
	token   string
	loans   int
	lent    bool
	trail   []string // what became of each request, to explain a failure
}

// note adds a line to the trail.
func (b *borrower) note(format string, arguments ...any) {
	b.trail = append(b.trail, time.Now().Format("05.000 ")+fmt.Sprintf(format, arguments...))
}

// run runs a statement through any host.
func (b *borrower) run(ctx context.Context, statement client.Statement, token string) (client.Result, string, error) {
	session := b.clients[b.random.IntN(len(b.clients))].Resume(token)
	statement.Database = "loans-1"
	answer, err := session.Run(ctx, statement)
	return answer, session.Token(), err
}

// stock brings the lamp in.
func (b *borrower) stock(ctx context.Context, t testing.TB) {
	_, token, err := b.run(ctx, client.Statement{Kind: "return", Operation: "stock", Arguments: map[string]string{"lamp": b.lamp, "branch": "north"}}, "")
	if err != nil {
		t.Fatal(err)
	}
	b.token = token
}

// write lends the lamp or takes it back.
func (b *borrower) write(ctx context.Context) {
	statement := client.Statement{Kind: "checkout", Operation: "checkout", Arguments: map[string]string{"lamp": b.lamp, "borrower": b.lamp}}
	if b.lent {
		statement = client.Statement{Kind: "return", Operation: "return", Arguments: map[string]string{"lamp": b.lamp, "branch": "north"}}
	}
	answer, token, err := b.run(ctx, statement, b.token)
	b.token = token
	b.note("%s %s: done %v, durability %s, repeated %v, %s, error %v", statement.Operation, answer.Request, answer.Done, answer.Durability, answer.Repeated, answer.Instance, err)
	b.doubt(err)
	if err != nil || !answer.Done {
		return
	}
	b.lent = !b.lent
	if b.lent {
		b.loans++
	}
}

// look reads the lamp and counts what it saw.
func (b *borrower) look(ctx context.Context) {
	aged := b.random.IntN(100) < shareAged
	statement := client.Statement{Kind: "counter", Operation: "lamp", Read: true, Arguments: map[string]string{"lamp": b.lamp}}
	token := b.token
	if aged {
		statement.Kind, token = "catalogue", ""
	}
	began := time.Now()
	answer, next, err := b.run(ctx, statement, token)
	taken := time.Since(began)
	if !aged {
		b.token = next
	}
	b.share.mutex.Lock()
	defer b.share.mutex.Unlock()
	b.note("read, aged %v: %v by %s, want %d loans, lent %v, error %v", aged, answer.Rows, answer.Instance, b.loans, b.lent, err)
	if err != nil {
		b.share.refused++
		return
	}
	b.share.reads++
	b.share.latencies = append(b.share.latencies, taken)
	if answer.Role == model.RoleReplica {
		b.share.replicas++
	}
	if aged {
		return
	}
	b.share.sessionReads++
	if answer.Role == model.RoleReplica {
		b.share.sessionOnReplicas++
	}
	if len(answer.Rows) != 1 || answer.Rows[0]["loans"] != strconv.Itoa(b.loans) || (answer.Rows[0]["borrower"] != "") != b.lent {
		b.share.stale++
	}
}

// play runs requests until the time is over.
func (b *borrower) play(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(b.random.ExpFloat64() * float64(shareThink)))
		if b.random.IntN(100) < shareWrites {
			b.write(context.Background())
		} else {
			b.look(context.Background())
		}
	}
}

// measureShare runs all sessions against a deployment of the Library with the lags.
func measureShare(b *testing.B, choose route.Chooser, lags [2]time.Duration) *share {
	deployment := local.New(local.Library())
	deployment.Choose = choose
	deployment.StopLimit = stopLimit
	ctx := context.Background()
	if err := deployment.Start(ctx); err != nil {
		b.Fatal(err)
	}
	defer deployment.Stop()
	limited, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	if err := deployment.Ready(limited); err != nil {
		b.Fatal(err)
	}
	var clients []*client.Client
	for _, host := range deployment.Hosts {
		clients = append(clients, client.New(host.Settings.CallerAddress))
	}
	counted := &share{}
	var borrowers []*borrower
	for i := range shareSessions {
		one := &borrower{share: counted, clients: clients, random: rand.New(rand.NewPCG(5, uint64(i))), lamp: fmt.Sprint("lamp-", i)}
		one.stock(ctx, b)
		borrowers = append(borrowers, one)
	}
	for i, lag := range lags {
		id := model.InstanceID([]string{"loans-1-b", "loans-1-c"}[i])
		deployment.Instances[id].Faults.Set(fault.Faults{Lag: &lag})
	}
	playing, stop := context.WithTimeout(ctx, shareTime)
	defer stop()
	var sessions sync.WaitGroup
	for _, one := range borrowers {
		sessions.Go(func() { one.play(playing) })
	}
	sessions.Wait()
	return counted
}

// BenchmarkShare measures, on loopback, the share of reads on replicas, stale session reads and the latency of reads.
func BenchmarkShare(b *testing.B) {
	lags := map[string][2]time.Duration{
		"lag=10ms":  {10 * time.Millisecond, 10 * time.Millisecond},
		"lag=100ms": {100 * time.Millisecond, 100 * time.Millisecond},
		"lag=1s":    {time.Second, time.Second},
		"lag=10s":   {10 * time.Second, 10 * time.Second},
		"lag=mixed": {10 * time.Millisecond, 10 * time.Second},
	}
	ways := map[string]route.Chooser{
		"choose": route.Choose, "primary": route.AllPrimary, "lag-limit": route.LagLimit(model.Age(time.Second)),
	}
	for lag, both := range lags {
		for way, choose := range ways {
			b.Run(lag+"/"+way, func(b *testing.B) {
				for b.Loop() {
					got := measureShare(b, choose, both)
					slices.Sort(got.latencies)
					b.ReportMetric(100*float64(got.replicas)/float64(got.reads), "%replica")
					b.ReportMetric(100*float64(got.sessionOnReplicas)/float64(max(1, got.sessionReads)), "%session-replica")
					b.ReportMetric(float64(got.reads), "reads")
					b.ReportMetric(float64(got.stale), "stale")
					b.ReportMetric(float64(got.refused), "refused")
					b.ReportMetric(float64(got.latencies[len(got.latencies)/2].Microseconds()), "p50-us")
					b.ReportMetric(float64(got.latencies[len(got.latencies)*99/100].Microseconds()), "p99-us")
				}
			})
		}
	}
}
