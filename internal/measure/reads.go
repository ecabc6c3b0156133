package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
	"redwingspread/pkg/client"
)

// readCount is the number of reads in each read measurement.
const readCount = 300

// readsPerWrite is the number of reads for each write.
const readsPerWrite = 10

// Range of the latency histograms in microseconds, and their significant digits.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

// measureReads writes, reads back through every host in turn, and counts stale results and those from replicas.
func (b *Benchmark) measureReads(ctx context.Context) error {
	database := b.Deployment.Plan.Databases[0]
	if _, err := b.registerResident(ctx, database); err != nil {
		return err
	}
	var replicas, stale, served, acknowledged int
	writer := b.session(0)
	token := ""
	for number := range readCount {
		if number%readsPerWrite == 0 {
			attempt := pay(ctx, writer, database, b.nextRequestID())
			b.payments[database] = append(b.payments[database], attempt)
			if attempt.acknowledged {
				acknowledged++
			}
			token = writer.Token()
		}
		reader := b.client(number % len(b.Deployment.Hosts)).Resume(token)
		result, err := reader.Run(ctx, client.Statement{
			Database: database, Kind: "waitlist", Operation: "seat", Read: true,
			Arguments: map[string]string{"section": paidSection, "resident": "ada"},
		})
		if err != nil {
			return err
		}
		served++
		if result.Role == model.RoleReplica {
			replicas++
		}
		if len(result.Rows) != 1 || result.Rows[0]["payments"] != fmt.Sprint(acknowledged) {
			stale++
		}
	}
	b.report.Set("replica_share", float64(replicas)/float64(served))
	b.report.Set("stale_reads", float64(stale))
	return nil
}

// measureHopLatency measures how much latency a host adds, compared with the same read sent directly to the instance.
func (b *Benchmark) measureHopLatency(ctx context.Context) error {
	proxied, err := b.measureReadLatency(ctx, b.proxiedRead())
	if err != nil {
		return err
	}
	readDirectly, err := b.directRead(ctx)
	if err != nil {
		return err
	}
	direct, err := b.measureReadLatency(ctx, readDirectly)
	if err != nil {
		return err
	}
	for name, quantile := range map[MetricName]float64{"hop_ms.p50": 50, "hop_ms.p99": 99} {
		baseline := float64(direct.ValueAtQuantile(quantile)) / 1000
		b.report.Set(name, float64(proxied.ValueAtQuantile(quantile))/1000-baseline)
		b.report.SetBaseline(name, baseline)
	}
	return nil
}

// measureReadLatency returns a histogram of read latencies in microseconds.
func (b *Benchmark) measureReadLatency(ctx context.Context, read func(context.Context) error) (*hdrhistogram.Histogram, error) {
	latencies := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	for range readCount {
		start := time.Now()
		if err := read(ctx); err != nil {
			return nil, err
		}
		if err := latencies.RecordValue(time.Since(start).Microseconds()); err != nil {
			return nil, err
		}
	}
	return latencies, nil
}

// hostNearReplica is the index of a host whose data centre holds a replica of the first database.
const hostNearReplica = 1

// proxiedRead returns a read through the host near a replica.
func (b *Benchmark) proxiedRead() func(context.Context) error {
	session := b.session(hostNearReplica)
	database := b.Deployment.Plan.Databases[0]
	return func(ctx context.Context) error {
		_, err := session.Run(ctx, client.Statement{
			Database: database, Kind: "catalogue", Operation: "catalogue", Read: true,
			Arguments: map[string]string{"branch": "none"},
		})
		return err
	}
}

// directRead returns the same read sent directly to that replica, over a link with the latency of the callers.
func (b *Benchmark) directRead(ctx context.Context) (func(context.Context) error, error) {
	database := b.Deployment.Plan.Databases[0]
	dataCentre := b.Deployment.Hosts[hostNearReplica].Settings.DataCentre
	for _, instance := range b.Deployment.Instances {
		if instance.Database != database || instance.Location.DataCentre != dataCentre {
			continue
		}
		replica := endpoint.NewClient()
		replica.Host = "direct"
		replica.Target = model.Instance{ID: instance.ID, Database: database, Address: instance.Address}
		replica.HTTP.Transport = b.transport
		state, err := replica.State(ctx)
		if err != nil {
			return nil, err
		}
		conn, _, err := replica.Open(ctx, "direct", database, state.Term)
		if err != nil {
			return nil, err
		}
		return func(ctx context.Context) error {
			_, _, err := conn.Run(ctx, state.Term, model.Work{Request: "direct", Statement: model.Statement{
				Kind: "catalogue", Access: model.Read, Operation: "catalogue", Arguments: map[string]string{"branch": "none"},
			}})
			return err
		}, nil
	}
	return nil, fmt.Errorf("no instance of %s in %s", database, dataCentre)
}
