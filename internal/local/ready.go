package local

import (
	"context"
	"fmt"
	"time"

	"redwingspread/internal/daemon"
)

// readyInterval is the time between two checks whether the deployment is ready.
const readyInterval = 20 * time.Millisecond

// AwaitReady waits until every running host knows the owner of every database and every database is served.
func (d *Deployment) AwaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for !d.ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("local: hosts are not ready: %w", ctx.Err())
		}
	}
	return nil
}

// ready reports whether every running host knows the owner of every database, and every database is served.
func (d *Deployment) ready() bool {
	serving := 0
	for _, host := range d.Hosts {
		if host.stop == nil {
			continue
		}
		served, complete := servedBy(host.daemon, len(d.Plan.Databases))
		if !complete {
			return false
		}
		serving += served
	}
	return serving == len(d.Plan.Databases)
}

// servedBy returns the number of databases that the host serves, and whether it knows the owner of every database.
func servedBy(host *daemon.Daemon, databases int) (serving int, complete bool) {
	view := host.View()
	if view == nil || !view.Policy.Ready() {
		return 0, false
	}
	known := 0
	for _, database := range view.Databases {
		if database.Owner != "" {
			known++
		}
		if database.Serving {
			serving++
		}
	}
	return serving, known == databases
}
