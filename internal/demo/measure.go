package demo

import (
	"context"
	"fmt"
	"time"

	"redwingspread/internal/model"
	"redwingspread/pkg/client"
)

// reads is the number of reads that the demonstration counts.
const reads = 200

// gapLimit is the time that writes may take to go on after a crash.
const gapLimit = 10 * time.Second

// measureReads counts the catalogue reads that replicas serve.
func (d *Demo) measureReads(ctx context.Context) error {
	session := at(d.library, 1).Session()
	replicas := 0
	for range reads {
		answer, err := session.Run(ctx, client.Statement{
			Database: "loans-1", Kind: "catalogue", Operation: "catalogue", Read: true,
			Arguments: map[string]string{"branch": "south"},
		})
		if err != nil {
			return err
		}
		if answer.Role == model.RoleReplica {
			replicas++
		}
	}
	d.printf("measure: replica share of %d catalogue reads: %d %%\n", reads, 100*replicas/reads)
	return nil
}

// crashPrimary ends the primary of a database and measures the gap in its writes.
func (d *Demo) crashPrimary(ctx context.Context) error {
	const database model.DatabaseID = "enrolment-2"
	session := at(d.authority, 3).Session()
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
	before, err := session.Run(ctx, offer)
	if err != nil {
		return err
	}
	begin := time.Now()
	if err := d.authority.StopInstance(before.Instance); err != nil {
		return err
	}
	for time.Since(begin) < gapLimit {
		answer, err := write("cleo")
		if err == nil {
			d.printf("measure: primary %s crashed; writes go on at %s after %v\n",
				before.Instance, answer.Instance, time.Since(begin).Round(time.Millisecond))
			return nil
		}
		d.printf("  refused meanwhile: %v\n", err)
	}
	return fmt.Errorf("no write within %v after the crash of %s", gapLimit, before.Instance)
}
