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

// reads is the number of reads in each measure of reads.
const reads = 300

// readEvery is the number of reads for each write.
const readEvery = 10

// The range of the histograms in microseconds, and their digits.
const (
	leastLatency  = 1
	mostLatency   = 60_000_000
	latencyDigits = 3
)

// measureReads writes and reads back through other hosts, and counts stale answers and those of replicas.
func (b *Bench) measureReads(ctx context.Context) error {
	database := b.Deployment.Plan.Databases[0]
	if _, err := b.enrol(ctx, database); err != nil {
		return err
	}
	var replicas, stale, taken, written int
	writer := b.session(0)
	token := ""
	for number := range reads {
		if number%readEvery == 0 {
			made := pay(ctx, writer, database, b.request())
			b.payments[database] = append(b.payments[database], made)
			if made.acked {
				written++
			}
			token = writer.Token()
		}
		reader := b.client(number % len(b.Deployment.Hosts)).Resume(token)
		answer, err := reader.Run(ctx, client.Statement{
			Database: database, Kind: "waitlist", Operation: "seat", Read: true,
			Arguments: map[string]string{"section": section, "resident": "ada"},
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

// measureHop measures what a read through a host takes above the same read without the system.
func (b *Bench) measureHop(ctx context.Context) error {
	through, err := b.timeReads(ctx, b.readThrough())
	if err != nil {
		return err
	}
	reader, err := b.readDirectly(ctx)
	if err != nil {
		return err
	}
	direct, err := b.timeReads(ctx, reader)
	if err != nil {
		return err
	}
	for name, quantile := range map[Name]float64{"hop_ms.p50": 50, "hop_ms.p99": 99} {
		baseline := float64(direct.ValueAtQuantile(quantile)) / 1000
		b.report.Set(name, float64(through.ValueAtQuantile(quantile))/1000-baseline)
		b.report.SetBaseline(name, baseline)
	}
	return nil
}

// timeReads returns the times of reads in microseconds.
func (b *Bench) timeReads(ctx context.Context, read func(context.Context) error) (*hdrhistogram.Histogram, error) {
	times := hdrhistogram.New(leastLatency, mostLatency, latencyDigits)
	for range reads {
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

// nearReplica is the host whose data centre holds a replica of the first database.
const nearReplica = 1

// readThrough returns a read through a host near a replica.
func (b *Bench) readThrough() func(context.Context) error {
	session := b.session(nearReplica)
	database := b.Deployment.Plan.Databases[0]
	return func(ctx context.Context) error {
		_, err := session.Run(ctx, client.Statement{
			Database: database, Kind: "catalogue", Operation: "catalogue", Read: true,
			Arguments: map[string]string{"branch": "none"},
		})
		return err
	}
}

// readDirectly returns the same read on that replica without the system, with the time of the callers' link.
func (b *Bench) readDirectly(ctx context.Context) (func(context.Context) error, error) {
	database := b.Deployment.Plan.Databases[0]
	near := b.Deployment.Hosts[nearReplica].Settings.DataCentre
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
