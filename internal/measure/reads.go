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

// readCount is the number of reads in each measure of reads.
const readCount = 300

// readsPerWrite is the number of reads for each write.
const readsPerWrite = 10

// The range of the histograms in microseconds, and their digits.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 60_000_000
	latencyDigits    = 3
)

// measureReads writes and reads back through other hosts, and counts stale answers and those of replicas.
func (b *Benchmark) measureReads(ctx context.Context) error {
	database := b.Deployment.Plan.Databases[0]
	if _, err := b.registerResident(ctx, database); err != nil {
		return err
	}
	var replicas, stale, taken, written int
	writer := b.session(0)
	token := ""
	for number := range readCount {
		if number%readsPerWrite == 0 {
			made := pay(ctx, writer, database, b.nextRequestID())
			b.attempts[database] = append(b.attempts[database], made)
			if made.acknowledged {
				written++
			}
			token = writer.Token()
		}
		reader := b.client(number % len(b.Deployment.Hosts)).Resume(token)
		answer, err := reader.Run(ctx, client.Statement{
			Database: database, Kind: "waitlist", Operation: "seat", Read: true,
			Arguments: map[string]string{"section": paidSection, "resident": "ada"},
		})
		if err != nil {
			return err
		}
		taken++
		if answer.Role == model.RoleReplica {
			replicas++
		}
		if len(answer.Rows) != 1 || answer.Rows[0]["payments"] != fmt.Sprint(written) {
			stale++
		}
	}
	b.report.Set("replica_share", float64(replicas)/float64(taken))
	b.report.Set("stale_reads", float64(stale))
	return nil
}

// measureHopLatency measures what a read through a host takes above the same read without the system.
func (b *Benchmark) measureHopLatency(ctx context.Context) error {
	through, err := b.measureReadLatency(ctx, b.proxiedRead())
	if err != nil {
		return err
	}
	reader, err := b.directRead(ctx)
	if err != nil {
		return err
	}
	direct, err := b.measureReadLatency(ctx, reader)
	if err != nil {
		return err
	}
	for name, quantile := range map[MetricName]float64{"hop_ms.p50": 50, "hop_ms.p99": 99} {
		baseline := float64(direct.ValueAtQuantile(quantile)) / 1000
		b.report.Set(name, float64(through.ValueAtQuantile(quantile))/1000-baseline)
		b.report.SetBaseline(name, baseline)
	}
	return nil
}

// measureReadLatency returns the times of reads in microseconds.
func (b *Benchmark) measureReadLatency(ctx context.Context, read func(context.Context) error) (*hdrhistogram.Histogram, error) {
	times := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	for range readCount {
		begin := time.Now()
		if err := read(ctx); err != nil {
			return nil, err
		}
		if err := times.RecordValue(time.Since(begin).Microseconds()); err != nil {
			return nil, err
		}
	}
	return times, nil
}

// hostNearReplica is the host whose data centre holds a replica of the first database.
const hostNearReplica = 1

// proxiedRead returns a read through a host near a replica.
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

// directRead returns the same read on that replica without the system, with the time of the callers' link.
func (b *Benchmark) directRead(ctx context.Context) (func(context.Context) error, error) {
	database := b.Deployment.Plan.Databases[0]
	near := b.Deployment.Hosts[hostNearReplica].Settings.DataCentre
	for _, one := range b.Deployment.Instances {
		if one.Database != database || one.Place.DataCentre != near {
			continue
		}
		made := endpoint.NewClient()
		made.Host = "direct"
		made.Target = model.Instance{ID: one.ID, Database: database, Address: one.Address}
		made.HTTP.Transport = b.transport
		state, err := made.State(ctx)
		if err != nil {
			return nil, err
		}
		conn, _, err := made.Open(ctx, "direct", database, state.Term)
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
	return nil, fmt.Errorf("no instance of %s in %s", database, near)
}
