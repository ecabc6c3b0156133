package demo

import (
	"context"
	"fmt"
	"time"

	"redwingspread/internal/model"
	"redwingspread/pkg/client"
)

// readCount is the number of reads in the measurement of the replica share.
const readCount = 200

// maxGap limits the time until writes succeed again after a crash.
const maxGap = 10 * time.Second

// measureReads measures the share of catalogue reads that replicas serve.
func (d *Demo) measureReads(ctx context.Context) error {
	session := newClient(d.library, 1).Session()
	replicas := 0
	for range readCount {
		result, err := session.Run(ctx, client.Statement{
			Database: "loans-1", Kind: "catalogue", Operation: "catalogue", Read: true,
			Arguments: map[string]string{"branch": "south"},
		})
		if err != nil {
			return err
		}
		if result.Role == model.RoleReplica {
			replicas++
		}
	}
	d.printf("measure: replica share of %d catalogue reads: %d %%\n", readCount, 100*replicas/readCount)
	return nil
}

// crashPrimary crashes the primary of a database and measures the time until a write succeeds.
func (d *Demo) crashPrimary(ctx context.Context) error {
	const database model.DatabaseID = "enrolment-2"
	session := newClient(d.authority, 3).Session()
	write := func(resident string) (client.Result, error) {
		return session.Run(ctx, client.Statement{
			Database: database, Kind: "registration", Operation: "register",
			Arguments: map[string]string{"section": "drawing-1", "resident": resident},
		})
	}
	offer := client.Statement{
		Database: database, Kind: "registration", Operation: "offer",
		Arguments: map[string]string{"section": "drawing-1", "capacity": "10"},
	}
	offered, err := session.Run(ctx, offer)
	if err != nil {
		return err
	}
	start := time.Now()
	if err := d.authority.StopInstance(offered.Instance); err != nil {
		return err
	}
	for time.Since(start) < maxGap {
		result, err := write("cleo")
		if err == nil {
			d.printf("measure: primary %s crashed; writes go on at %s after %v\n",
				offered.Instance, result.Instance, time.Since(start).Round(time.Millisecond))
			return nil
		}
		d.printf("  refused meanwhile: %v\n", err)
	}
	return fmt.Errorf("no write succeeded within %v after the crash of %s", maxGap, offered.Instance)
}
