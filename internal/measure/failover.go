package measure

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/model"
	"redwingspread/internal/standin/fault"
	"redwingspread/pkg/client"
)

// payment is the result of one payment request.
type payment struct {
	request      model.RequestID
	acknowledged bool
	unknown      bool // not acknowledged, and possibly executed
}

// Timing of a failover measurement.
const (
	warmUpDuration   = 500 * time.Millisecond // payments before the fault
	faultDuration    = 4 * time.Second        // payments from the fault on
	recoveryDuration = 3 * time.Second        // pause after the fault is healed
	paymentInterval  = 20 * time.Millisecond  // time between the starts of two payments
)

// paidSection is the section that the payments are for.
const paidSection = "measured"

// failoverScenario is a fault, or a planned stop, of a primary, the owner of its database, or both.
type failoverScenario struct {
	name   string
	inject func(b *Benchmark, database model.DatabaseID, primary model.InstanceID) error
	heal   func(b *Benchmark, primary model.InstanceID)
}

// failoverScenarios holds the measured scenarios; the crash is last, since the primary is not started again.
var failoverScenarios = []failoverScenario{
	{"planned", injectFaults(fault.Faults{Leaving: true}), healAll},
	{"isolated", injectFaults(fault.Faults{IsolatedFrom: []fault.Sender{"*"}}), healAll},
	{"owner", isolateOwner, healAll},
	{"both", isolateOwnerAndPrimary, healAll},
	{"crash", stopPrimary, func(*Benchmark, model.InstanceID) {}},
}

// injectFaults returns a function that injects faults into the primary.
func injectFaults(faults fault.Faults) func(*Benchmark, model.DatabaseID, model.InstanceID) error {
	return func(b *Benchmark, _ model.DatabaseID, primary model.InstanceID) error {
		b.Deployment.Instances[primary].Faults.Set(faults)
		return nil
	}
}

// isolateOwner cuts off all connections of the host that owns the database, without notice to the others.
func isolateOwner(b *Benchmark, database model.DatabaseID, _ model.InstanceID) error {
	for index, host := range b.Deployment.Hosts {
		known := host.View().Databases[database]
		if known != nil && known.Owner == host.Settings.Host {
			b.Deployment.SetIsolated(index, true)
			return nil
		}
	}
	return fmt.Errorf("no host owns %s", database)
}

// isolateOwnerAndPrimary cuts off all connections of the owner and of the primary, also those between the two.
func isolateOwnerAndPrimary(b *Benchmark, database model.DatabaseID, primary model.InstanceID) error {
	b.Deployment.Instances[primary].Faults.Set(fault.Faults{IsolatedFrom: []fault.Sender{"*"}})
	return isolateOwner(b, database, primary)
}

// stopPrimary stops the primary instance.
func stopPrimary(b *Benchmark, _ model.DatabaseID, primary model.InstanceID) error {
	return b.Deployment.StopInstance(primary)
}

// healAll clears the faults of the primary and reconnects every host.
func healAll(b *Benchmark, primary model.InstanceID) {
	b.Deployment.Instances[primary].Faults.Set(fault.Faults{})
	for index := range b.Deployment.Hosts {
		b.Deployment.SetIsolated(index, false)
	}
}

// measureFailovers measures the write gap of each scenario on each database.
func (b *Benchmark) measureFailovers(ctx context.Context) error {
	for _, scenario := range failoverScenarios {
		var gaps []time.Duration
		for _, database := range b.Deployment.Plan.Databases {
			gap, err := b.measureWriteGap(ctx, scenario, database)
			if err != nil {
				return fmt.Errorf("%s, %s: %w", scenario.name, database, err)
			}
			fmt.Fprintf(b.Progress, "%s %s: gap %v\n", scenario.name, database, gap)
			gaps = append(gaps, gap)
		}
		slices.Sort(gaps)
		b.report.Set(MetricName("failover_gap_ms."+scenario.name+".median"), milliseconds(gaps[len(gaps)/2]))
		b.report.Set(MetricName("failover_gap_ms."+scenario.name+".worst"), milliseconds(gaps[len(gaps)-1]))
	}
	return nil
}

// measureWriteGap pays continuously, injects a fault and returns the longest time without an acknowledged payment.
func (b *Benchmark) measureWriteGap(ctx context.Context, scenario failoverScenario, database model.DatabaseID) (time.Duration, error) {
	primary, err := b.registerResident(ctx, database)
	if err != nil {
		return 0, err
	}
	gaps := make(chan time.Duration, 1)
	paying, stop := context.WithCancel(ctx)
	go func() { gaps <- b.payContinuously(paying, database) }()
	err = clock.Pause(ctx, warmUpDuration)
	if err == nil {
		err = scenario.inject(b, database, primary)
	}
	err = errors.Join(err, clock.Pause(ctx, faultDuration))
	stop()
	longestGap := <-gaps
	scenario.heal(b, primary)
	return longestGap, errors.Join(err, clock.Pause(ctx, recoveryDuration))
}

// registerResident creates the seat that the payments are for and returns the primary that ran the statements.
func (b *Benchmark) registerResident(ctx context.Context, database model.DatabaseID) (model.InstanceID, error) {
	session := b.session(0)
	steps := []client.Statement{
		{Operation: "offer", Arguments: map[string]string{"section": paidSection, "capacity": "10"}},
		{Operation: "register", Arguments: map[string]string{"section": paidSection, "resident": "ada"}},
	}
	var primary model.InstanceID
	for _, step := range steps {
		step.Database = database
		step.Kind = "registration"
		result, err := session.Run(ctx, step)
		if err != nil {
			return "", err
		}
		primary = result.Instance
	}
	return primary, nil
}

// completedPayment is a payment and the time of its result.
type completedPayment struct {
	payment
	completedAt time.Time
}

// payContinuously starts payments at a fixed interval, without waiting for earlier ones, until the context ends; it returns
// the longest time between two acknowledgements.
func (b *Benchmark) payContinuously(ctx context.Context, database model.DatabaseID) (longestGap time.Duration) {
	last := time.Now()
	completed := make(chan completedPayment)
	pending := 0
	for number := 0; clock.Pause(ctx, paymentInterval) == nil; number++ {
		request := b.nextRequestID()
		session := b.session(number % len(b.Deployment.Hosts))
		go func() {
			attempt := pay(context.WithoutCancel(ctx), session, database, request)
			completed <- completedPayment{payment: attempt, completedAt: time.Now()}
		}()
		pending++
		for drained := false; !drained; {
			select {
			case next := <-completed:
				pending--
				longestGap, last = b.recordPayment(database, next, longestGap, last)
			default:
				drained = true
			}
		}
	}
	for ; pending > 0; pending-- {
		longestGap, last = b.recordPayment(database, <-completed, longestGap, last)
	}
	return longestGap
}

// recordPayment stores a payment and returns the longest gap so far and the time of the last acknowledgement.
func (b *Benchmark) recordPayment(database model.DatabaseID, completed completedPayment, longestGap time.Duration, last time.Time) (time.Duration, time.Time) {
	b.payments[database] = append(b.payments[database], completed.payment)
	if !completed.acknowledged {
		return longestGap, last
	}
	return max(longestGap, completed.completedAt.Sub(last)), completed.completedAt
}

// nextRequestID returns the id of the next payment request.
func (b *Benchmark) nextRequestID() model.RequestID {
	b.lastRequest++
	return model.RequestID(fmt.Sprintf("pay-%d-%d", b.Seed, b.lastRequest))
}

// pay sends one payment request and returns its result.
func pay(ctx context.Context, session *client.Session, database model.DatabaseID, request model.RequestID) payment {
	result, err := session.Run(ctx, client.Statement{
		Database: database, Kind: "payment", Operation: "pay", Request: request,
		Arguments: map[string]string{"section": paidSection, "resident": "ada", "cents": "100"},
	})
	clientErr, isClientErr := errors.AsType[*client.Error](err)
	return payment{
		request:      request,
		acknowledged: err == nil && result.Done,
		unknown:      err != nil && !(isClientErr && clientErr.NotRun),
	}
}

// milliseconds converts a duration to milliseconds.
func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
