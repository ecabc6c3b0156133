package front

import (
	"context"
	"fmt"
	"sync"
	"time"

	"redwingspread/internal/allowance"
	"redwingspread/internal/clock"
	"redwingspread/internal/controller"
	"redwingspread/internal/directory"
	"redwingspread/internal/event"
	"redwingspread/internal/model"
)

const (
	// fleetRefreshInterval is the time between two updates of the hosts that this one hears.
	fleetRefreshInterval = 250 * time.Millisecond
	// leastAllowanceWait keeps the goroutine that asks for tokens from running all the time.
	leastAllowanceWait = time.Millisecond
)

// tokenResult is the decision on an operation that has waited for a token.
type tokenResult struct {
	spent      bool
	retryAfter time.Duration
}

// tokenWaiter is an operation that waits for a token of its tenant's allowance.
type tokenWaiter = allowance.Waiter[chan tokenResult]

// allowances spends tokens of the tenants' allowances, and asks other hosts for them.
type allowances struct {
	host *Host

	mutex     sync.Mutex
	book      *allowance.Book[chan tokenResult]
	directory *directory.Directory // whose limits the book has
	fleet     *controller.Fleet    // that the book has
	addresses map[model.HostID]model.Address
	refreshed model.Instant // when the fleet was set last
	wake      chan struct{} // buffered; wakes run when something may be due earlier
}

// newAllowances returns the allowances of a host whose settings and mesh are set.
func newAllowances(h *Host) *allowances {
	self := allowance.Host{ID: h.self.ID, DataCentre: h.self.DataCentre, Region: h.regions[h.self.DataCentre]}
	a := &allowances{host: h, wake: make(chan struct{}, 1)}
	a.book = allowance.New[chan tokenResult](self, h.self.Incarnation, clock.Boot())
	a.book.Tolerance = allowance.Tolerance{
		Window: h.Settings.AllowanceWindow,
		Excess: h.Settings.AllowanceExcess,
		Slack:  model.Operations(h.Settings.AllowanceSlack),
	}
	h.mesh.OnQuestion = a.answer
	h.mesh.OnAnswer = a.accept
	return a
}

// spend takes a token for an operation of the tenant, waiting for it until the limit; it returns a refusal if there is none in time.
func (a *allowances) spend(ctx context.Context, tenant model.TenantID, rank model.Rank, limit time.Time) *model.Refusal {
	waiter := &tokenWaiter{}
	a.mutex.Lock()
	now := clock.Boot()
	a.refresh(now)
	verdict, retryAfter := a.book.Spend(now, tenant, rank, now.Add(time.Until(limit)), waiter)
	if verdict != allowance.Waiting {
		a.mutex.Unlock()
		if verdict == allowance.Refused {
			return a.refusal(tenant, tokenResult{retryAfter: retryAfter})
		}
		return nil
	}
	waiter.Value = make(chan tokenResult, 1)
	a.sendDue(now)
	a.wakeRun()
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	select {
	case result := <-waiter.Value:
		return a.refusal(tenant, result)
	case <-timer.C:
	case <-ctx.Done():
	}
	a.mutex.Lock()
	a.book.Cancel(waiter)
	a.mutex.Unlock()
	select {
	case result := <-waiter.Value: // decided before it was cancelled
		return a.refusal(tenant, result)
	default:
		return a.refusal(tenant, tokenResult{})
	}
}

// refusal returns the refusal of an operation that got no token, or nil. It names the limit that this host has in force, so that an
// operator can compare it with the tenant's.
func (a *allowances) refusal(tenant model.TenantID, result tokenResult) *model.Refusal {
	if result.spent {
		return nil
	}
	d := a.host.view().Directory
	limit := fmt.Sprintf("%g a second and %g at once in version %d", float64(d.Tenants[tenant].Rate), float64(d.Tenants[tenant].Burst), d.Version)
	if result.retryAfter == 0 {
		return model.Refuse(model.CodeAllowance, "no token of the allowance of tenant %s came in time: %s", tenant, limit)
	}
	return withRetryAfter(model.Refuse(model.CodeAllowance, "tenant %s has used up its allowance: %s", tenant, limit), result.retryAfter)
}

// refresh brings the book up to date with the host's view; the caller holds the mutex.
func (a *allowances) refresh(now model.Instant) {
	view := a.host.view()
	if view.Directory != a.directory {
		a.directory = view.Directory
		a.book.SetLimits(now, limitsOf(view.Directory))
	}
	if view.Fleet == nil || (view.Fleet == a.fleet && now.Sub(a.refreshed) < fleetRefreshInterval) {
		return
	}
	if view.Fleet != a.fleet {
		a.fleet = view.Fleet
		a.addresses = make(map[model.HostID]model.Address, len(view.Fleet.Live))
		for _, host := range view.Fleet.Live {
			a.addresses[host.ID] = host.Address
		}
	}
	a.refreshed = now
	a.book.SetHosts(now, a.hosts(view.Fleet.Live), a.hosts(view.Fleet.All))
}

// hosts returns hosts as the book has them.
func (a *allowances) hosts(fleet []controller.Host) []allowance.Host {
	hosts := make([]allowance.Host, 0, len(fleet))
	for _, host := range fleet {
		hosts = append(hosts, allowance.Host{ID: host.ID, DataCentre: host.DataCentre, Region: a.host.regions[host.DataCentre]})
	}
	return hosts
}

// limitsOf returns the limits of the tenants that have one.
func limitsOf(d *directory.Directory) map[model.TenantID]allowance.Limit {
	limits := make(map[model.TenantID]allowance.Limit, len(d.Tenants))
	for id, tenant := range d.Tenants {
		if tenant.Limited {
			limits[id] = allowance.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
		}
	}
	return limits
}

// sendDue sends the questions that are due and passes decisions on; the caller holds the mutex, which is released.
func (a *allowances) sendDue(now model.Instant) {
	questions, decisions := a.book.Due(now)
	addresses := a.addresses
	a.mutex.Unlock()
	decide(decisions)
	for _, question := range questions {
		if err := a.host.mesh.SendQuestion(addresses[question.To], question.Question); err != nil {
			event.DependencyLost(a.host.Logger, "datagrams", err)
		}
	}
}

// wakeRun makes run look again for what is due next.
func (a *allowances) wakeRun() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// decide passes decisions on to the operations that wait.
func decide(decisions []allowance.Decision[chan tokenResult]) {
	for _, decision := range decisions {
		decision.Waiter.Value <- tokenResult{spent: decision.Spent, retryAfter: decision.RetryAfter}
	}
}

// answer answers another host's question for tokens.
func (a *allowances) answer(question allowance.Question, from model.Address) {
	a.mutex.Lock()
	now := clock.Boot()
	a.refresh(now)
	answer := a.book.Answer(now, question)
	a.mutex.Unlock()
	if err := a.host.mesh.SendAnswer(from, answer); err != nil {
		event.DependencyLost(a.host.Logger, "datagrams", err)
	}
}

// accept takes the tokens in an answer.
func (a *allowances) accept(answer allowance.Answer) {
	a.mutex.Lock()
	now := clock.Boot()
	decide(a.book.Accept(now, answer))
	a.sendDue(now)
	a.wakeRun()
}

// run sends questions when they are due until the context ends, then sends its result on done.
func (a *allowances) run(ctx context.Context, done chan<- error) {
	timer := time.NewTimer(fleetRefreshInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		changed := a.host.Loop.Changed()
		if a.host.view().Directory.Keyed {
			timer.Reset(a.sendNext())
		}
		select {
		case <-timer.C:
		case <-a.wake:
		case <-changed:
		case <-ctx.Done():
		}
	}
	done <- ctx.Err()
}

// sendNext sends the questions that are due and returns the time until more may be.
func (a *allowances) sendNext() time.Duration {
	a.mutex.Lock()
	now := clock.Boot()
	a.refresh(now)
	a.sendDue(now)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	next, due := a.book.Next()
	if !due {
		return fleetRefreshInterval
	}
	return min(max(next.Sub(now), leastAllowanceWait), fleetRefreshInterval)
}
