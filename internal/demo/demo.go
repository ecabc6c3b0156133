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

// readyLimit is the time that every database may take to be served.
const readyLimit = 30 * time.Second

// Demo is one demonstration.
type Demo struct {
	// Out takes what happens, as text.
	Out io.Writer
	// Stay leaves everything up until the context ends.
	Stay bool

	authority *local.Deployment
	library   *local.Deployment
}

// New returns a demonstration whose exported fields are to be set before Run.
func New() *Demo {
	return &Demo{
		authority: local.New(local.Authority()),
		library:   local.New(local.Library()),
	}
}

// Run starts both users' deployments, shows their work and stops them.
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
	if err := d.show(ctx); err != nil {
		return err
	}
	if d.Stay {
		d.printAddresses()
		<-ctx.Done()
	}
	return nil
}

// show runs every part of the demonstration in turn.
func (d *Demo) show(ctx context.Context) error {
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
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	begin := time.Now()
	if err := deployment.Ready(ctx); err != nil {
		return err
	}
	plan := deployment.Plan
	d.printf("%s: %d hosts and %d databases of %d instances serve after %v\n",
		plan.User, plan.Hosts, len(plan.Databases), len(plan.Places), time.Since(begin).Round(time.Millisecond))
	return nil
}

// at returns a client of one host.
func at(deployment *local.Deployment, host int) *client.Client {
	return client.New(deployment.Hosts[host].Settings.CallerAddress)
}

// run runs a statement and prints its answer.
func (d *Demo) run(ctx context.Context, session *client.Session, statement client.Statement) (client.Result, error) {
	answer, err := session.Run(ctx, statement)
	if err != nil {
		return answer, err
	}
	outcome := "done"
	if !answer.Done {
		outcome = "failed: " + answer.FailureReason
	}
	d.printf("  %-10s through %s on %s (%s): %s %v\n",
		statement.Operation, answer.Host, answer.Instance, answer.Role, outcome, answer.Rows)
	return answer, nil
}

// enrol shows a resident's registration and payment, read through another host.
func (d *Demo) enrol(ctx context.Context) error {
	const database model.DatabaseID = "enrolment-1"
	d.printf("Authority: a resident registers and pays through one host and reads through another\n")
	session := at(d.authority, 0).Session()
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
	roamed := at(d.authority, 1).Resume(session.Token())
	answer, err := d.run(ctx, roamed, client.Statement{
		Database: database, Kind: "waitlist", Operation: "seat", Read: true,
		Arguments: map[string]string{"section": "welding-1", "resident": "ada"},
	})
	if err != nil {
		return err
	}
	if len(answer.Rows) != 1 || answer.Rows[0]["payments"] != "1" {
		return fmt.Errorf("read through another host shows %v, want one payment", answer.Rows)
	}
	return nil
}

// lend shows a lamp that is lent and returned, and the catalogue from home.
func (d *Demo) lend(ctx context.Context) error {
	const database model.DatabaseID = "loans-1"
	d.printf("Library: a librarian lends a lamp and takes it back\n")
	session := at(d.library, 0).Session()
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
	roamed := at(d.library, 2).Resume(session.Token())
	answer, err := d.run(ctx, roamed, client.Statement{
		Database: database, Kind: "counter", Operation: "catalogue", Read: true,
		Arguments: map[string]string{"branch": "south"},
	})
	if err != nil {
		return err
	}
	if len(answer.Rows) != 1 {
		return fmt.Errorf("catalogue through another host shows %v, want the returned lamp", answer.Rows)
	}
	return nil
}

// printf prints a line of the demonstration.
func (d *Demo) printf(format string, arguments ...any) {
	fmt.Fprintf(d.Out, format, arguments...)
}

// printAddresses prints where the hosts are and what to try.
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
