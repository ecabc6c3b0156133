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
	request model.RequestID
	acked   bool
	unknown bool // neither acknowledged nor certainly not run
}

// The times of one failover that is measured.
const (
	gapBefore = 500 * time.Millisecond
	gapAfter  = 4 * time.Second
	gapHeal   = 3 * time.Second
	payPause  = 20 * time.Millisecond
)

// section is the section for which the payments are.
const section = "measured"

// disturbance is one way in which a primary, its owner or both go away.
type disturbance struct {
	name  string
	begin func(b *Bench, database model.DatabaseID, primary model.InstanceID) error
	heal  func(b *Bench, primary model.InstanceID)
}

// disturbances holds the ways that are measured, those that heal first.
var disturbances = []disturbance{
	{"planned", setFaults(fault.Faults{Leaving: true}), healAll},
	{"isolated", setFaults(fault.Faults{IsolatedFrom: []fault.Party{"*"}}), healAll},
	{"owner", cutOwner, healAll},
	{"both", cutBoth, healAll},
	{"crash", stopPrimary, func(*Bench, model.InstanceID) {}},
}

// setFaults returns a disturbance by faults of the primary.
func setFaults(faults fault.Faults) func(*Bench, model.DatabaseID, model.InstanceID) error {
	return func(b *Bench, _ model.DatabaseID, primary model.InstanceID) error {
		b.Deployment.Instances[primary].Faults.Set(faults)
		return nil
	}
}

// cutOwner cuts the host that owns the database off from everything, without a sign to the others.
func cutOwner(b *Bench, database model.DatabaseID, _ model.InstanceID) error {
	for index, host := range b.Deployment.Hosts {
		known := host.View().Databases[database]
		if known != nil && known.Owner == host.Settings.Host {
			b.Deployment.CutOff(index, true)
			return nil
		}
	}
	return fmt.Errorf("no host owns %s", database)
}

// cutBoth cuts the owner off and isolates the primary, each from everything and from the other.
func cutBoth(b *Bench, database model.DatabaseID, primary model.InstanceID) error {
	b.Deployment.Instances[primary].Faults.Set(fault.Faults{IsolatedFrom: []fault.Party{"*"}})
	return cutOwner(b, database, primary)
}

// stopPrimary ends the primary's process.
func stopPrimary(b *Bench, _ model.DatabaseID, primary model.InstanceID) error {
	return b.Deployment.StopInstance(primary)
}

// healAll ends the faults of the primary and the cuts of every host.
func healAll(b *Bench, primary model.InstanceID) {
	b.Deployment.Instances[primary].Faults.Set(fault.Faults{})
	for index := range b.Deployment.Hosts {
		b.Deployment.CutOff(index, false)
	}
}

// measureGaps measures the gap in writes for each disturbance of each database's primary.
func (b *Bench) measureGaps(ctx context.Context) error {
	for _, way := range disturbances {
		var gaps []time.Duration
		for _, database := range b.Deployment.Plan.Databases {
			gap, err := b.gap(ctx, way, database)
			if err != nil {
				return fmt.Errorf("%s, %s: %w", way.name, database, err)
			}
			fmt.Fprintf(b.Progress, "%s %s: gap %v\n", way.name, database, gap)
			gaps = append(gaps, gap)
		}
		slices.Sort(gaps)
		b.report.Set(Name("failover_gap_ms."+way.name+".median"), milliseconds(gaps[len(gaps)/2]))
		b.report.Set(Name("failover_gap_ms."+way.name+".worst"), milliseconds(gaps[len(gaps)-1]))
	}
	return nil
}

// gap pays without pause, disturbs the primary and returns the longest time without an acknowledged payment.
func (b *Bench) gap(ctx context.Context, way disturbance, database model.DatabaseID) (time.Duration, error) {
	primary, err := b.enrol(ctx, database)
	if err != nil {
		return 0, err
	}
	ends := make(chan time.Duration, 1)
	paying, stop := context.WithCancel(ctx)
	go func() { ends <- b.payOn(paying, database) }()
	err = clock.Pause(ctx, gapBefore)
	if err == nil {
		err = way.begin(b, database, primary)
	}
	err = errors.Join(err, clock.Pause(ctx, gapAfter))
	stop()
	longest := <-ends
	way.heal(b, primary)
	return longest, errors.Join(err, clock.Pause(ctx, gapHeal))
}

// enrol makes sure that there is a seat to pay for and returns the primary that answered.
func (b *Bench) enrol(ctx context.Context, database model.DatabaseID) (model.InstanceID, error) {
	session := b.session(0)
	steps := []client.Statement{
		{Operation: "offer", Arguments: map[string]string{"section": section, "capacity": "10"}},
		{Operation: "register", Arguments: map[string]string{"section": section, "resident": "ada"}},
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

// acked is one payment and when its answer came.
type acked struct {
	payment
	at time.Time
}

// payOn begins a payment at even times, whatever became of the others, until the context ends; it returns the longest time between two acknowledgements.
func (b *Bench) payOn(ctx context.Context, database model.DatabaseID) (longest time.Duration) {
	last := time.Now()
	answers := make(chan acked)
	begun := 0
	for number := 0; clock.Pause(ctx, payPause) == nil; number++ {
		request := b.request()
		session := b.session(number % len(b.Deployment.Hosts))
		go func() {
			made := pay(context.WithoutCancel(ctx), session, database, request)
			answers <- acked{payment: made, at: time.Now()}
		}()
		begun++
		for drained := false; !drained; {
			select {
			case answer := <-answers:
				begun--
				longest, last = b.note(database, answer, longest, last)
			default:
				drained = true
			}
		}
	}
	for ; begun > 0; begun-- {
		longest, last = b.note(database, <-answers, longest, last)
	}
	return longest
}

// note keeps a payment and returns the longest gap so far and the last acknowledgement.
func (b *Bench) note(database model.DatabaseID, answer acked, longest time.Duration, last time.Time) (time.Duration, time.Time) {
	b.payments[database] = append(b.payments[database], answer.payment)
	if !answer.acked {
		return longest, last
	}
	return max(longest, answer.at.Sub(last)), answer.at
}

// request names the next payment.
func (b *Bench) request() model.RequestID {
	b.number++
	return model.RequestID(fmt.Sprintf("pay-%d-%d", b.Seed, b.number))
}

// pay makes one payment.
func pay(ctx context.Context, session *client.Session, database model.DatabaseID, request model.RequestID) payment {
	answer, err := session.Run(ctx, client.Statement{
		Database: database, Kind: "payment", Operation: "pay", Request: request,
		Arguments: map[string]string{"section": section, "resident": "ada", "cents": "100"},
	})
	refused, isRefusal := errors.AsType[*client.Error](err)
	return payment{
		request: request,
		acked:   err == nil && answer.Done,
		unknown: err != nil && !(isRefusal && refused.NotRun),
	}
}

// milliseconds returns a duration in milliseconds.
func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
