package front

import (
	"expvar"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"redwingspread/internal/model"
	"redwingspread/internal/placement"
)

const (
	maxLatency    = 60_000_000 // microseconds
	latencyDigits = 2          // significant digits
	maxKinds      = 256        // kinds of work with separate histograms
)

// rejection is a reason for which a statement is rejected.
type rejection uint8

// The reasons.
const (
	rejectedByQueue         rejection = iota // the queue for the instance, or the memory for answers, is full
	rejectedByInstance                       // the instance has no slot or connection free
	rejectedAsLate                           // it could not be sent in time
	rejectedWithoutInstance                  // no instance can be reached, or no primary is known
	rejectedByAllowance                      // the tenant has used up its allowance
	rejectedOtherwise
	rejectionCount
)

// rejectionNames names the reasons in the metrics.
var rejectionNames = [rejectionCount]string{"queue", "instance", "late", "none", "allowance", "other"}

// atOnceLimit is the wait up to which a rejection counts as one at once.
const atOnceLimit = time.Millisecond

// counters holds the metrics of a host.
type counters struct {
	Requests       expvar.Int // statements that needed an instance
	Retries        expvar.Int // attempts after the first
	Promotions     expvar.Int // ordered by this host
	Sessions       expvar.Int // open now
	Relayed        expvar.Int // requests passed on to hosts that keep connections
	Evicted        expvar.Int // sessions closed in favour of new ones
	OverLimit      expvar.Int // sessions refused because the host had as many as it may
	Withheld       expvar.Int // retries that had to wait because the budget for them was used up
	CallersGone    expvar.Int // statements given up because their callers had closed their connections
	RelayedRefused expvar.Int // sessions that other hosts passed on and that were refused because the host had as many as it may
	SetupRefused   expvar.Int // commands that prepare a connection for a session and that an instance refused
	Restores       expvar.Int // tables read anew since the store had come back from an older copy
	Rewritten      expvar.Int // rows written again since the store had lost them
	DroppedLines   func() uint64

	tenants   tenantCounters
	placed    placements
	refusals  expvar.Map                   // by code
	atOnce    [rejectionCount]atomic.Int64 // statements that have not run and did not wait
	waited    [rejectionCount]atomic.Int64 // others that have not run
	mutex     sync.Mutex
	answered  map[string]time.Time // when the store last answered a call for a table
	latencies map[model.KindID]*hdrhistogram.Histogram
}

// newCounters returns counters at zero.
func newCounters() *counters {
	return &counters{
		latencies:    make(map[model.KindID]*hdrhistogram.Histogram),
		answered:     make(map[string]time.Time),
		DroppedLines: func() uint64 { return 0 },
	}
}

// countRefusal counts a refusal.
func (c *counters) countRefusal(code model.Code) { c.refusals.Add(string(code), 1) }

// countRejection counts a statement that was rejected without having run.
func (c *counters) countRejection(reason rejection, waited time.Duration) {
	if waited <= atOnceLimit {
		c.atOnce[reason].Add(1)
	} else {
		c.waited[reason].Add(1)
	}
}

// noteAnswer records that the store answered a call for a table.
func (c *counters) noteAnswer(table string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answered[table] = time.Now()
}

// observeLatency records a successful statement and its latency.
func (c *counters) observeLatency(kind model.KindID, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	latency, found := c.latencies[kind]
	if !found {
		if len(c.latencies) >= maxKinds {
			return
		}
		latency = hdrhistogram.New(1, maxLatency, latencyDigits)
		c.latencies[kind] = latency
	}
	_ = latency.RecordValue(min(max(took.Microseconds(), 1), maxLatency)) // the value is within the bounds
}

// writeText writes the metrics as text, one per line.
func (c *counters) writeText(out io.Writer) (err error) {
	line := func(format string, arguments ...any) {
		if err == nil {
			_, err = fmt.Fprintf(out, format+"\n", arguments...)
		}
	}
	line("requests %s", c.Requests.String())
	line("retries %s", c.Retries.String())
	line("promotions %s", c.Promotions.String())
	line("sessions %s", c.Sessions.String())
	line("relayed %s", c.Relayed.String())
	line("sessions_evicted %s", c.Evicted.String())
	line("sessions_over_limit %s", c.OverLimit.String())
	line("retries_withheld %s", c.Withheld.String())
	line("callers_gone %s", c.CallersGone.String())
	line("relayed_refused %s", c.RelayedRefused.String())
	line("setup_refused %s", c.SetupRefused.String())
	line("store_restores %s", c.Restores.String())
	line("rows_rewritten %s", c.Rewritten.String())
	line("lines_dropped %d", c.DroppedLines())
	c.refusals.Do(func(kv expvar.KeyValue) { line("refusals{code=%q} %s", kv.Key, kv.Value.String()) })
	for reason, name := range rejectionNames {
		line("rejected{reason=%q,when=\"at_once\"} %d", name, c.atOnce[reason].Load())
		line("rejected{reason=%q,when=\"waited\"} %d", name, c.waited[reason].Load())
	}
	c.placed.each(func(edge placement.Edge, reason placement.Reason, count int64) {
		line("placed{where=%q,reason=%q} %d", edge, reason, count)
	})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, table := range slices.Sorted(maps.Keys(c.answered)) {
		line("table_age_milliseconds{table=%q} %d", table, time.Since(c.answered[table]).Milliseconds())
	}
	var kinds []model.KindID
	for kind := range c.latencies {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		latency := c.latencies[kind]
		line("served{kind=%q} %d", kind, latency.TotalCount())
		for _, quantile := range []float64{50, 90, 99, 100} {
			line("served_microseconds{kind=%q,quantile=\"%g\"} %d", kind, quantile, latency.ValueAtQuantile(quantile))
		}
	}
	return err
}
