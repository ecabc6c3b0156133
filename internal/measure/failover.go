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

// payment is one payment that was asked for.
type payment struct {
	request      model.RequestID
	acknowledged bool
	unknown      bool // neither acknowledged nor certainly not run
}

// The times of one failover that is measured.
const (
	warmUpDuration   = 500 * time.Millisecond
	faultDuration    = 4 * time.Second
	recoveryDuration = 3 * time.Second
	paymentInterval  = 20 * time.Millisecond
)

// paidSection is the section for which the payments are.
const paidSection = "measured"

// failoverScenario is one way in which a primary, its owner or both go away.
type failoverScenario struct {
	name   string
	inject func(b *Benchmark, database model.DatabaseID, primary model.InstanceID) error
	heal   func(b *Benchmark, primary model.InstanceID)
}

// failoverScenarios holds the ways that are measured, those that heal first.
var failoverScenarios = []failoverScenario{
	{"planned", injectFaults(fault.Faults{Leaving: true}), healAll},
	{"isolated", injectFaults(fault.Faults{IsolatedFrom: []fault.Party{"*"}}), healAll},
	{"owner", isolateOwner, healAll},
	{"both", isolateOwnerAndPrimary, healAll},
	{"crash", stopPrimary, func(*Benchmark, model.InstanceID) {}},
}

// injectFaults returns a disturbance by faults of the primary.
func injectFaults(faults fault.Faults) func(*Benchmark, model.DatabaseID, model.InstanceID) error {
	return func(b *Benchmark, _ model.DatabaseID, primary model.InstanceID) error {
		b.Deployment.Instances[primary].Faults.Set(faults)
		return nil
	}
}

// isolateOwner cuts the host that owns the database off from everything, without a sign to the others.
func isolateOwner(b *Benchmark, database model.DatabaseID, _ model.InstanceID) error {
	for index, host := range b.Deployment.Hosts {
		known := host.View().Databases[database]
		if known != nil && known.Owner == host.Settings.Host {
			b.Deployment.CutOff(index, true)
			return nil
		}
	}
	return fmt.Errorf("no host owns %s", database)
}

// isolateOwnerAndPrimary cuts the owner off and isolates the primary, each from everything and from the other.
func isolateOwnerAndPrimary(b *Benchmark, database model.DatabaseID, primary model.InstanceID) error {
	b.Deployment.Instances[primary].Faults.Set(fault.Faults{IsolatedFrom: []fault.Party{"*"}})
	return isolateOwner(b, database, primary)
}

// stopPrimary ends the primary's process.
func stopPrimary(b *Benchmark, _ model.DatabaseID, primary model.InstanceID) error {
	return b.Deployment.StopInstance(primary)
}

// healAll ends the faults of the primary and the cuts of every host.
func healAll(b *Benchmark, primary model.InstanceID) {
	b.Deployment.Instances[primary].Faults.Set(fault.Faults{})
	for index := range b.Deployment.Hosts {
		b.Deployment.CutOff(index, false)
	}
}

// measureFailovers measures the gap in writes for each disturbance of each database's primary.
func (b *Benchmark) measureFailovers(ctx context.Context) error {
	for _, way := range failoverScenarios {
		var gaps []time.Duration
		for _, database := range b.Deployment.Plan.Databases {
			gap, err := b.measureWriteGap(ctx, way, database)
			if err != nil {
				return fmt.Errorf("%s, %s: %w", way.name, database, err)
			}
			fmt.Fprintf(b.Progress, "%s %s: gap %v\n", way.name, database, gap)
			gaps = append(gaps, gap)
		}
		slices.Sort(gaps)
		b.report.Set(MetricName("failover_gap_ms."+way.name+".median"), milliseconds(gaps[len(gaps)/2]))
		b.report.Set(MetricName("failover_gap_ms."+way.name+".worst"), milliseconds(gaps[len(gaps)-1]))
	}
	return nil
}

// measureWriteGap pays without pause, disturbs the primary and returns the longest time without an acknowledged payment.
func (b *Benchmark) measureWriteGap(ctx context.Context, way failoverScenario, database model.DatabaseID) (time.Duration, error) {
	primary, err := b.registerResident(ctx, database)
	if err != nil {
		return 0, err
	}
	ends := make(chan time.Duration, 1)
	paying, stop := context.WithCancel(ctx)
	go func() { ends <- b.payContinuously(paying, database) }()
	err = clock.Pause(ctx, warmUpDuration)
	if err == nil {
		err = way.inject(b, database, primary)
	}
	err = errors.Join(err, clock.Pause(ctx, faultDuration))
	stop()
	longest := <-ends
	way.heal(b, primary)
	return longest, errors.Join(err, clock.Pause(ctx, recoveryDuration))
}

// registerResident makes sure that there is a seat to pay for and returns the primary that answered.
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
		answer, err := session.Run(ctx, step)
		if err != nil {
			return "", err
		}
		primary = answer.Instance
	}
	return primary, nil
}

// completedPayment is one payment and when its answer came.
type completedPayment struct {
	payment
	answeredAt time.Time
}

// payContinuously begins a payment at even times, whatever became of the others, until the context ends; it returns the longest time between two acknowledgements.
func (b *Benchmark) payContinuously(ctx context.Context, database model.DatabaseID) (longest time.Duration) {
	last := time.Now()
	answers := make(chan completedPayment)
	begun := 0
	for number := 0; clock.Pause(ctx, paymentInterval) == nil; number++ {
		request := b.nextRequestID()
		session := b.session(number % len(b.Deployment.Hosts))
		go func() {
			made := pay(context.WithoutCancel(ctx), session, database, request)
			answers <- completedPayment{payment: made, answeredAt: time.Now()}
		}()
		begun++
		for drained := false; !drained; {
			select {
			case answer := <-answers:
				begun--
				longest, last = b.recordPayment(database, answer, longest, last)
			default:
				drained = true
			}
		}
	}
	for ; begun > 0; begun-- {
		longest, last = b.recordPayment(database, <-answers, longest, last)
	}
	return longest
}

// recordPayment keeps a payment and returns the longest gap so far and the last acknowledgement.
func (b *Benchmark) recordPayment(database model.DatabaseID, answer completedPayment, longest time.Duration, last time.Time) (time.Duration, time.Time) {
	b.attempts[database] = append(b.attempts[database], answer.payment)
	if !answer.acknowledged {
		return longest, last
	}
	return max(longest, answer.answeredAt.Sub(last)), answer.answeredAt
}

// nextRequestID names the next payment.
func (b *Benchmark) nextRequestID() model.RequestID {
	b.lastRequest++
	return model.RequestID(fmt.Sprintf("pay-%d-%d", b.Seed, b.lastRequest))
}

// pay makes one payment.
func pay(ctx context.Context, session *client.Session, database model.DatabaseID, request model.RequestID) payment {
	answer, err := session.Run(ctx, client.Statement{
		Database: database, Kind: "payment", Operation: "pay", Request: request,
		Arguments: map[string]string{"section": paidSection, "resident": "ada", "cents": "100"},
	})
	refused, isRefusal := errors.AsType[*client.Error](err)
	return payment{
		request:      request,
		acknowledged: err == nil && answer.Done,
		unknown:      err != nil && !(isRefusal && refused.NotRun),
	}
}

// milliseconds returns a duration in milliseconds.
func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
