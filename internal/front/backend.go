package front

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"redwingspread/internal/admit"
	"redwingspread/internal/budget"
	"redwingspread/internal/clock"
	"redwingspread/internal/controller"
	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/freshness"
	"redwingspread/internal/lease"
	"redwingspread/internal/model"
	"redwingspread/internal/placement"
	"redwingspread/internal/relay"
	"redwingspread/internal/retry"
	"redwingspread/internal/scheduler"
	"redwingspread/internal/scout"
	"redwingspread/internal/session"
)

const (
	dialTimeout    = 400 * time.Millisecond // several round trips between regions plus the connection setup
	stallTimeout   = 250 * time.Millisecond // without any response while some are outstanding
	minBehindPause = 30 * time.Millisecond  // first pause of reads that need a newer point than the replica had
	maxBehindPause = 400 * time.Millisecond // longest such pause, so that a lagging replica is tried again
	fullOpenDelay  = 100 * time.Millisecond // least wait after the instance refused a connection because its limit was reached; hosts that take turns free one about as often
	fullProbeDelay = 2 * time.Second        // no probes for so long after that: the instance responds, and other hosts use its connections
	topRankFloor   = model.Percent(0)       // the most urgent rank is served first and needs no guaranteed share
	lowerRankFloor = model.Percent(10)      // share of slot time guaranteed to each other rank under a flood of urgent work
	setupTime      = 15 * time.Millisecond  // of a connection at an instance, which takes a slot meanwhile
	releaseGrace   = 150 * time.Millisecond // for statements in progress on a primary that is replaced
	minConnections = 1                      // connections to an instance kept open without work
)

// pooledConn is an open connection to an instance, with the session state that earlier sessions left on it.
//
// An idle connection to a primary has a transaction begun in advance. An instance that is no longer the primary refuses each
// statement of such a transaction, so whatever runs in it ran on a primary, without an extra round trip for the begin.
type pooledConn struct {
	InstanceConn
	tenant          model.TenantID // to which the instance counts it; empty for none
	connectionState *session.ConnectionState
	txBegun         bool
	txVersion       model.Version  // configuration version when txBegun was set
	room            budget.Account // of the memory of connectionState
}

// setBegun records whether a transaction was begun in advance.
func (c *pooledConn) setBegun(version model.Version, begun bool) {
	c.txBegun, c.txVersion = begun, version
}

// replicaSet is one database as seen by traffic.
type replicaSet struct {
	memory   *budget.Budget                   // for the state of connections; nil for none
	retries  *retry.Budget                    // for attempts after refusals for lack of room
	writes   atomic.Pointer[model.InstanceID] // instance that served the newest write of this host; nil for none
	outliers *outliers                        // nil without outlier detection

	mutex    sync.Mutex
	history  freshness.PointHistory
	backends []*backend
	leaving  leaving
}

// backend is one instance as seen by traffic.
type backend struct {
	instance   directory.Instance // immutable
	replicaSet *replicaSet
	scheduler  *scheduler.Scheduler[*pooledConn]
	rtt        time.Duration
	edge       placement.Edge
	dial       dialFunc

	cancel context.CancelFunc
	done   chan error

	unfenced bool                    // the platform doesn't stop it when it promotes another instance
	gate     lease.Gate[*pooledConn] // of its use as the primary, where that is unfenced

	mutex           sync.Mutex
	health          failover.Health
	proof           scout.Proof         // newest position that it proved to this host as the primary
	outstanding     int                 // number of statements sent and not done yet
	lastResponse    time.Time           // time of the latest response
	overdueSince    time.Time           // start of the current wait: the latest response, or the first statement sent after it
	reached         model.Point         // newest log point in a response
	behindUntil     model.Instant       // end of the pause of reads that need the lacked or a newer point
	behindPause     time.Duration       // length of that pause; doubles up to maxBehindPause until the instance has caught up
	lacked          model.Point         // oldest point that the instance was found to lack in that pause
	lag             placement.Lag       // replication lag, as responses show it
	remoteTimes     *admit.ServiceTimes // of requests passed on to hosts that keep connections to it
	leaving         bool
	lastFullRefusal time.Time // time of the latest connection refused because the limit was reached
}

// dialFunc opens a connection to an instance, in the name of the tenant unless that is empty.
type dialFunc func(ctx context.Context, instance directory.Instance, tenant model.TenantID) (InstanceConn, error)

// newBackend returns a backend of a replica set, whose scheduler runs until close.
func newBackend(ctx context.Context, rs *replicaSet, entry directory.Instance, rtt time.Duration, dial dialFunc) *backend {
	b := &backend{instance: entry, replicaSet: rs, rtt: rtt, dial: dial, scheduler: scheduler.New[*pooledConn](), remoteTimes: admit.NewServiceTimes(), done: make(chan error, 1)}
	b.health.Instance = entry.ID
	b.scheduler.Floors = [model.RankCount]model.Percent{topRankFloor, lowerRankFloor, lowerRankFloor}
	b.scheduler.MinConnections = minConnections
	b.scheduler.RoundTrip = rtt
	b.scheduler.Pool.MaxOpening = 2
	b.scheduler.Pool.Open = b.open
	b.scheduler.Pool.Tenant = func(c *pooledConn) model.TenantID { return c.tenant }
	b.scheduler.Pool.Close = func(_ context.Context, c *pooledConn) error { return c.Close() }
	b.scheduler.Pool.MinBackoff = func(err error) time.Duration {
		if model.CodeOf(err) == model.CodeConnectionsFull {
			return fullOpenDelay
		}
		return 0
	}
	ctx, b.cancel = context.WithCancel(ctx)
	go b.scheduler.Run(ctx, b.done)
	return b
}

// retryAfter returns after which time work that the instance refused with the code should come back; zero if it does not lack room.
func (b *backend) retryAfter(code model.Code) time.Duration {
	if !retry.LacksRoom(code) {
		return 0
	}
	return b.scheduler.DrainTime()
}

// close stops the scheduler and waits for its end.
func (b *backend) close() {
	b.cancel()
	<-b.done
}

// open opens a connection of the tenant.
func (b *backend) open(ctx context.Context, tenant model.TenantID) (*pooledConn, error) {
	callCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	begun := time.Now()
	conn, err := b.dial(callCtx, b.instance, tenant)
	if err == nil {
		b.noteResponse(time.Now())
		return newPooledConn(conn, tenant, b.replicaSet.memory), nil
	}
	var refusal *model.Refusal
	switch {
	case errors.As(err, &refusal) && !answeredByOther(refusal.Code):
		b.noteResponse(time.Now())
		b.noteConnectionRefusal(refusal.Code)
	case ctx.Err() == nil:
		b.noteFailure(begun)
	}
	return nil, err
}

// answeredByOther reports whether a refused connection shows that the instance is not the one that answers at its address, as after its
// end when the address is used again.
func answeredByOther(code model.Code) bool {
	return code == model.CodeWrongInstance || code == model.CodeInternal
}

// requestSent records that a statement was sent.
func (b *backend) requestSent(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.outstanding == 0 {
		b.overdueSince = now
	}
	b.outstanding++
}

// requestDone records that a statement is no longer outstanding.
func (b *backend) requestDone() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.outstanding--
}

// noteResponse records that the instance responded.
func (b *backend) noteResponse(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.lastResponse = now
	b.overdueSince = now
	b.health.SilentSince = time.Time{}
}

// noteFailure records that the instance did not respond to what was sent at the given time, or closed the connection.
func (b *backend) noteFailure(sent time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.health.SilentSince.IsZero() && sent.After(b.lastResponse) {
		b.health.SilentSince = sent
	}
}

// notePrimary records that a statement sent at the given time proved that the instance is the primary, and its log point.
func (b *backend) notePrimary(sent model.Instant, point model.Point) {
	b.mutex.Lock()
	b.health.LastProof = time.Now()
	b.health.Term = max(b.health.Term, point.Term)
	admitted := b.admitsPrimary()
	if admitted && sent > b.proof.SentAt {
		b.proof = scout.Proof{Database: b.instance.Database, Instance: b.instance.ID, Point: point, SentAt: sent}
	}
	b.mutex.Unlock()
	if !admitted {
		return // another instance may lead by now, with newer commits
	}
	b.replicaSet.mutex.Lock()
	defer b.replicaSet.mutex.Unlock()
	b.replicaSet.history.Observe(sent, point)
}

// noteRemoteProof records that the instance proved to another host that it is the primary. It says nothing about whether this
// host reaches the instance. The proof counts from the moment for which it is dated, since a scout repeats the newest one that it has.
func (b *backend) noteRemoteProof(now time.Time, proof scout.Proof) {
	provedAt := now.Add(-clock.Boot().Sub(proof.SentAt))
	b.mutex.Lock()
	if b.health.SilentSince.IsZero() && provedAt.After(b.health.Proved()) {
		b.health.RemoteProof = provedAt
		b.health.Term = max(b.health.Term, proof.Point.Term)
	}
	b.mutex.Unlock()
	b.replicaSet.mutex.Lock()
	defer b.replicaSet.mutex.Unlock()
	b.replicaSet.history.Observe(proof.SentAt, proof.Point)
}

// noteNotPrimary records that the instance said it is not the primary.
func (b *backend) noteNotPrimary() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.health.LastRefusal = time.Now()
}

// isPrimary reports whether the instance responds and its latest statement about its role is that it is the primary.
func (b *backend) isPrimary() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.health.Proved().After(b.health.LastRefusal) && b.health.SilentSince.IsZero()
}

// notePoint records the log point in a response and derives the replication lag from it.
func (b *backend) notePoint(now model.Instant, point model.Point) {
	b.replicaSet.mutex.Lock()
	passedAt, passed := b.replicaSet.history.PassedAt(point)
	newest, known := b.replicaSet.history.Newest()
	b.replicaSet.mutex.Unlock()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.noteReached(point)
	switch {
	case passed:
		b.lag.Observe(now, now.Sub(passedAt))
	case known: // the instance holds the newest position that was confirmed then
		b.lag.Bound(now, now.Sub(newest))
	}
}

// noteReached records a point that the instance's log holds; the caller holds the lock.
func (b *backend) noteReached(point model.Point) {
	if point.Compare(b.reached) > 0 {
		b.reached = point
	}
}

// noteBehind records that the instance lacks a point, and pauses reads that need it or a newer one with exponential backoff.
func (b *backend) noteBehind(now model.Instant, lacked model.Point) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if now >= b.behindUntil || lacked.Compare(b.lacked) < 0 {
		b.lacked = lacked
	}
	b.behindPause = min(max(2*b.behindPause, minBehindPause), maxBehindPause)
	b.behindUntil = now.Add(b.behindPause)
}

// noteLacking records that the instance itself said that it lacks a point: its lag is at least the age of that point.
func (b *backend) noteLacking(now model.Instant, lacked model.Point) {
	b.noteBehind(now, lacked)
	b.replicaSet.mutex.Lock()
	reachedAt, known := b.replicaSet.history.ReachedAt(lacked)
	b.replicaSet.mutex.Unlock()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if known {
		b.lag.Raise(now, now.Sub(reachedAt))
	}
}

// noteFreshness records what a host that keeps connections to the instance knows of its log.
func (b *backend) noteFreshness(now model.Instant, replica relay.Replica) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.noteReached(replica.Reached)
	if replica.Lag > 0 {
		b.lag.Adopt(now, replica.Lag)
	}
}

// freshness returns what this host knows of the instance's log.
func (b *backend) freshness(now model.Instant) relay.Replica {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return relay.Replica{Instance: b.instance.ID, Reached: b.reached, Lag: b.lag.At(now)}
}

// noteCaughtUp records that the instance had the requested point.
func (b *backend) noteCaughtUp() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.behindPause, b.behindUntil = 0, 0
}

// report returns the health and load of the instance.
func (b *backend) report(now time.Time) controller.InstanceReport {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	health := b.health
	health.Overdue = b.stalled(now)
	return controller.InstanceReport{Health: health, Load: b.scheduler.Load(), Released: b.gate.Closed(), Proof: b.proof}
}

// admitsPrimary reports whether the instance may be used as the primary now.
func (b *backend) admitsPrimary() bool { return !b.unfenced || b.gate.Admits(clock.Boot()) }

// enterPrimary reports whether a statement may be sent to the instance as the primary now; if so, leavePrimary ends its use.
func (b *backend) enterPrimary(conn *pooledConn) bool {
	return !b.unfenced || b.gate.Enter(clock.Boot(), conn)
}

// leavePrimary ends a statement's use of the instance as the primary and returns the statement's error; a response counts only
// while the lease lasts.
func (b *backend) leavePrimary(conn *pooledConn, err error) error {
	if !b.unfenced {
		return err
	}
	if err == nil && !b.gate.Valid(clock.Boot(), conn) {
		err = errLeaseEnded
	}
	b.gate.Leave(conn)
	return err
}

// applyLease opens or closes the instance's use as the primary, and reports whether it has been closed.
func (b *backend) applyLease(until model.Instant, assigned lease.Assignment) (closed bool) {
	if assigned.Token == 0 || assigned.Instance == b.instance.ID {
		b.gate.Open(clock.Boot(), until)
		return false
	}
	b.gate.Close(clock.Boot(), assigned.Token)
	return true
}

// abandon ends the use of an instance that is gone from the directory as the primary, since nothing waits for it any more.
func (b *backend) abandon() error {
	now := clock.Boot()
	b.gate.Close(now, lease.Withdrawn)
	return b.closeOverdue(now, 0)
}

// closeOverdue closes connections whose statements are still in progress the given time after the instance was replaced as the
// primary.
func (b *backend) closeOverdue(now model.Instant, grace time.Duration) (err error) {
	for _, conn := range b.gate.Overdue(now, grace) {
		err = errors.Join(err, conn.Close())
	}
	return err
}

// stalled reports whether responses are overdue; the caller holds the lock.
func (b *backend) stalled(now time.Time) bool {
	return b.outstanding > 0 && now.Sub(b.overdueSince) > stallTimeout
}

// noteConnectionRefusal records a connection refused because the limit was reached.
func (b *backend) noteConnectionRefusal(code model.Code) {
	if code != model.CodeConnectionsFull {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.lastFullRefusal = time.Now()
}

// skipsProbe reports whether a probe would only take up a connection: the host has none open to an instance that responds,
// and is opening its first one or was refused one recently.
func (b *backend) skipsProbe(now time.Time) bool {
	counts := b.scheduler.Pool.Counts()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return counts.Open == 0 && b.health.SilentSince.IsZero() && (counts.Opening > 0 || now.Sub(b.lastFullRefusal) < fullProbeDelay)
}

// candidate returns the inputs for choosing among instances; passedOn says that other hosts keep the connections to it.
func (b *backend) candidate(now time.Time, kind model.KindID, tenant model.TenantID, primary model.InstanceID, passedOn bool) placement.Candidate {
	var expected time.Duration
	if !passedOn {
		expected = b.scheduler.ExpectedLatency(now, kind)
		if b.scheduler.OpensConnection(tenant) {
			expected += 2*b.rtt + setupTime + b.scheduler.BlockedFor()
		}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if passedOn {
		expected = b.remoteTimes.Expected(now, kind)
	}
	return placement.Candidate{
		Instance:    b.instance.ID,
		Primary:     b.instance.ID == primary,
		Avoid:       b.leaving || !b.health.SilentSince.IsZero() || b.stalled(now),
		Edge:        b.edge,
		Expected:    expected,
		RoundTrip:   b.rtt,
		Reached:     b.reached,
		BehindUntil: b.behindUntil,
		Lacked:      b.lacked,
		Lag:         b.lag.At(clock.Boot()),
	}
}

// servesWrites records that an instance has served a write and reports whether another one, or none, served the one before.
func (rs *replicaSet) servesWrites(id model.InstanceID) bool {
	if newest := rs.writes.Load(); newest != nil && *newest == id {
		return false
	}
	previous := rs.writes.Swap(&id)
	return previous == nil || *previous != id
}

// readRequirement returns the log point that a read of the kind needs, given the session's newest commit.
func (rs *replicaSet) readRequirement(kind model.Kind, commit model.Point) placement.Requirement {
	want := placement.Requirement{Now: clock.Boot()}
	if kind.Consistency == model.ReadLatest {
		return want
	}
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	want.MinPoint, want.PointKnown = rs.history.MinPoint(want.Now, kind.MaxAge.Duration())
	if want.PointKnown && kind.Consistency == model.ReadYourWrites {
		want.MinPoint = rs.history.WithCommit(want.MinPoint, commit)
	}
	if want.PointKnown {
		want.WrittenAt = want.Now // past all confirmed positions, as a commit of this moment is
	}
	if at, known := rs.history.ReachedAt(want.MinPoint); known {
		want.WrittenAt = at
	}
	return want
}
