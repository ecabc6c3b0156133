package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"redwingspread/internal/local"
	"redwingspread/internal/model"
	"redwingspread/pkg/client"
)

// readyTimeout limits the time until every database of a deployment is served.
const readyTimeout = 30 * time.Second

// Demo runs the demonstration and holds its deployments.
type Demo struct {
	// Out receives the output.
	Out io.Writer
	// KeepRunning keeps the deployments running after the demonstration, until the context ends.
	KeepRunning bool

	authority *local.Deployment
	library   *local.Deployment
}

// New returns a demonstration. Set its exported fields before Run.
func New() *Demo {
	return &Demo{
		authority: local.New(local.AuthorityPlan()),
		library:   local.New(local.LibraryPlan()),
	}
}

// Run starts the deployments of both users, runs the demonstration and stops them.
func (d *Demo) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("demo: %w", err)
		}
	}()
	for _, deployment := range []*local.Deployment{d.authority, d.library} {
		if err := deployment.Start(ctx); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, deployment.Stop()) }()
	}
	for _, deployment := range []*local.Deployment{d.authority, d.library} {
		if err := d.awaitReady(ctx, deployment); err != nil {
			return err
		}
	}
	if err := d.runParts(ctx); err != nil {
		return err
	}
	if d.KeepRunning {
		d.printAddresses()
		<-ctx.Done()
	}
	return nil
}

// runParts runs the parts of the demonstration in turn.
func (d *Demo) runParts(ctx context.Context) error {
	parts := []func(context.Context) error{
		d.enrol,
		d.lend,
		d.measureReads,
		d.crashPrimary,
	}
	for _, part := range parts {
		if err := part(ctx); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until every database of a deployment is served.
func (d *Demo) awaitReady(ctx context.Context, deployment *local.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	start := time.Now()
	if err := deployment.AwaitReady(ctx); err != nil {
		return err
	}
	plan := deployment.Plan
	d.printf("%s: %d hosts and %d databases of %d instances serve after %v\n",
		plan.User, plan.Hosts, len(plan.Databases), len(plan.Locations), time.Since(start).Round(time.Millisecond))
	return nil
}

// newClient returns a client of the host with the index.
func newClient(deployment *local.Deployment, host int) *client.Client {
	return client.New(deployment.Hosts[host].Settings.CallerAddress)
}

// run runs a statement and prints its result.
func (d *Demo) run(ctx context.Context, session *client.Session, statement client.Statement) (client.Result, error) {
	result, err := session.Run(ctx, statement)
	if err != nil {
		return result, err
	}
	outcome := "done"
	if !result.Done {
		outcome = "failed: " + result.FailureReason
	}
	d.printf("  %-10s through %s on %s (%s): %s %v\n",
		statement.Operation, result.Host, result.Instance, result.Role, outcome, result.Rows)
	return result, nil
}

// enrol shows a registration and a payment that is sent twice under one request id; a read through another host returns one
// payment.
func (d *Demo) enrol(ctx context.Context) error {
	const database model.DatabaseID = "enrolment-1"
	d.printf("Authority: a resident registers and pays through one host and reads through another\n")
	session := newClient(d.authority, 0).Session()
	steps := []client.Statement{
		{Kind: "registration", Operation: "offer", Arguments: map[string]string{"section": "welding-1", "capacity": "2"}},
		{Kind: "registration", Operation: "register", Arguments: map[string]string{"section": "welding-1", "resident": "ada"}},
		{Kind: "payment", Operation: "pay", Arguments: map[string]string{"section": "welding-1", "resident": "ada", "cents": "4500"}, Request: "payment-ada-1"},
		{Kind: "payment", Operation: "pay", Arguments: map[string]string{"section": "welding-1", "resident": "ada", "cents": "4500"}, Request: "payment-ada-1"},
	}
	for _, step := range steps {
		step.Database = database
		if _, err := d.run(ctx, session, step); err != nil {
			return err
		}
	}
	resumed := newClient(d.authority, 1).Resume(session.Token())
	result, err := d.run(ctx, resumed, client.Statement{
		Database: database, Kind: "waitlist", Operation: "seat", Read: true,
		Arguments: map[string]string{"section": "welding-1", "resident": "ada"},
	})
	if err != nil {
		return err
	}
	if len(result.Rows) != 1 || result.Rows[0]["payments"] != "1" {
		return fmt.Errorf("read through another host returned %v, want one payment", result.Rows)
	}
	return nil
}

// lend shows a lamp that is lent and returned, and the catalogue read through another host.
func (d *Demo) lend(ctx context.Context) error {
	const database model.DatabaseID = "loans-1"
	d.printf("Library: a librarian lends a lamp and takes it back\n")
	session := newClient(d.library, 0).Session()
	steps := []client.Statement{
		{Kind: "return", Operation: "stock", Arguments: map[string]string{"lamp": "lamp-7", "branch": "north"}},
		{Kind: "checkout", Operation: "checkout", Arguments: map[string]string{"lamp": "lamp-7", "borrower": "bek"}},
		{Kind: "return", Operation: "return", Arguments: map[string]string{"lamp": "lamp-7", "branch": "south"}},
	}
	for _, step := range steps {
		step.Database = database
		if _, err := d.run(ctx, session, step); err != nil {
			return err
		}
	}
	resumed := newClient(d.library, 2).Resume(session.Token())
	result, err := d.run(ctx, resumed, client.Statement{
		Database: database, Kind: "counter", Operation: "catalogue", Read: true,
		Arguments: map[string]string{"branch": "south"},
	})
	if err != nil {
		return err
	}
	if len(result.Rows) != 1 {
		return fmt.Errorf("catalogue read through another host returned %v, want the returned lamp", result.Rows)
	}
	return nil
}

// printf writes formatted output.
func (d *Demo) printf(format string, arguments ...any) {
	fmt.Fprintf(d.Out, format, arguments...)
}

// printAddresses prints the addresses of the hosts and a command to try.
func (d *Demo) printAddresses() {
	for _, deployment := range []*local.Deployment{d.authority, d.library} {
		for _, host := range deployment.Hosts {
			d.printf("%s: callers %s, operators %s\n", host.Settings.Host, host.Settings.CallerAddress, host.Settings.OperatorAddress)
		}
	}
	d.printf("try:\n  curl -s http://%s/v1/statements -H 'Content-Type: application/json' -d '%s'\n",
		d.authority.Hosts[2].Settings.CallerAddress,
		`{"request":"r-1","database":"enrolment-1","kind":"roster","operation":"roster","arguments":{"section":"welding-1"}}`)
}
