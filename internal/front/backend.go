package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/freshness"
	"redwingspread/internal/governor"
	"redwingspread/internal/lane"
	"redwingspread/internal/model"
	"redwingspread/internal/place"
	"redwingspread/internal/session"
)

const (
	dialTimeout     = 400 * time.Millisecond // several round trips between regions and the cost of a connection
	stallTimeout    = 250 * time.Millisecond // without any answer while some are outstanding
	minBehindPause  = 30 * time.Millisecond  // a replica that lacked a point is left alone at least so long
	maxBehindPause  = 400 * time.Millisecond // a replica that lags for long is asked again this often
	fullOpenDelay   = 500 * time.Millisecond // after an opening that the instance refused as one too many
	fullProbeDelay  = 2 * time.Second        // without a probe after that: the instance answers, and others have its connections
	topRankFloor    = model.Percent(0)       // the most urgent rank goes first and needs no floor
	lowerRankFloor  = model.Percent(10)      // of slot time, kept for each of the other ranks in a flood of urgent work
	warmConnections = 1
)

// pooledConn is an open connection to an instance and what sessions left on it.
//
// An idle connection to a primary has a transaction begun ahead of its use. An instance that no longer leads refuses each
// statement of such a transaction, so that whatever runs in it ran on a primary, without a round trip for the begin.
type pooledConn struct {
	InstanceConn
	sessionState *session.Footing
	txBegun      bool
	txVersion    model.Version // of the configuration under which it was begun
}

// setBegun notes that a transaction was begun ahead.
func (l *pooledConn) setBegun(version model.Version, begun bool) {
	l.txBegun, l.txVersion = begun, version
}

// replicaSet is one database as traffic sees it.
type replicaSet struct {
	mutex    sync.Mutex
	marks    freshness.Marks
	backends []*backend
}

// backend is one instance as traffic sees it.
type backend struct {
	instance   directory.Instance // immutable
	replicaSet *replicaSet
	lane       *lane.Lane[*pooledConn]
	rtt        time.Duration
	dial       func(ctx context.Context, instance directory.Instance) (InstanceConn, error)

	cancel context.CancelFunc
	done   chan error

	mutex        sync.Mutex
	health       failover.Health
	outstanding  int
	lastResponse time.Time // of the newest answer
	overdueSince time.Time // overdueSince when answers are overdue: the newest answer, or the first statement after it
	reached      model.Point
	behindUntil  model.Instant
	behindPause  time.Duration
	lag          place.Lag
	leaving      bool
	lastFull     time.Time // of the newest refusal of a connection as one too many
}

// newBackend returns an instance of a group, whose lane runs until it is closed.
func newBackend(ctx context.Context, g *replicaSet, entry directory.Instance, trip time.Duration, dial func(context.Context, directory.Instance) (InstanceConn, error)) *backend {
	m := &backend{instance: entry, replicaSet: g, rtt: trip, dial: dial, lane: lane.New[*pooledConn](), done: make(chan error, 1)}
	m.health.Instance = entry.ID
	m.lane.Floors = [model.Ranks]model.Percent{topRankFloor, lowerRankFloor, lowerRankFloor}
	m.lane.Warm = warmConnections
	m.lane.Trip = trip
	m.lane.Pool.Parallel = 2
	m.lane.Pool.Open = m.open
	m.lane.Pool.Close = func(_ context.Context, l *pooledConn) error { return l.Close() }
	m.lane.Pool.Rest = func(err error) time.Duration {
		if model.CodeOf(err) == model.CodeConnectionsFull {
			return fullOpenDelay
		}
		return 0
	}
	ctx, m.cancel = context.WithCancel(ctx)
	go m.lane.Run(ctx, m.done)
	return m
}

// close ends the lane and waits for its end.
func (m *backend) close() {
	m.cancel()
	<-m.done
}

// open opens a connection.
func (m *backend) open(ctx context.Context) (*pooledConn, error) {
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	begun := time.Now()
	endpoint, err := m.dial(limited, m.instance)
	if err == nil {
		m.noteResponse(time.Now())
		return &pooledConn{InstanceConn: endpoint, sessionState: session.NewFooting()}, nil
	}
	var refusal *model.Refusal
	switch {
	case errors.As(err, &refusal):
		m.noteResponse(time.Now())
		m.noteConnectionRefusal(refusal.Code)
	case ctx.Err() == nil:
		m.noteFailure(begun)
	}
	return nil, err
}

// requestSent notes a statement on its way.
func (m *backend) requestSent(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.outstanding == 0 {
		m.overdueSince = now
	}
	m.outstanding++
}

// requestDone notes that a statement is no longer outstanding.
func (m *backend) requestDone() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.outstanding--
}

// noteResponse notes that the instance answers.
func (m *backend) noteResponse(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastResponse = now
	m.overdueSince = now
	m.health.Silent = time.Time{}
}

// noteFailure notes that the instance did not answer what was sent at the moment, or broke a connection off.
func (m *backend) noteFailure(sent time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.health.Silent.IsZero() && sent.After(m.lastResponse) {
		m.health.Silent = sent
	}
}

// notePrimary notes that the instance proved, in a statement sent at the moment, that it leads, and where its log was.
func (m *backend) notePrimary(sent model.Instant, point model.Point) {
	m.mutex.Lock()
	m.health.Led = time.Now()
	m.health.Term = max(m.health.Term, point.Term)
	m.mutex.Unlock()
	m.replicaSet.mutex.Lock()
	defer m.replicaSet.mutex.Unlock()
	m.replicaSet.marks.Observe(sent, point)
}

// noteNotPrimary notes that the instance does not lead.
func (m *backend) noteNotPrimary() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.health.Refused = time.Now()
}

// isPrimary reports whether the newest word of the instance is that it leads.
func (m *backend) isPrimary() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.health.Led.After(m.health.Refused) && m.health.Silent.IsZero()
}

// notePoint notes the position in an answer, from which the age of the log follows.
func (m *backend) notePoint(now model.Instant, point model.Point) {
	m.replicaSet.mutex.Lock()
	since, known := m.replicaSet.marks.Reached(point)
	m.replicaSet.mutex.Unlock()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if point.Compare(m.reached) > 0 {
		m.reached = point
	}
	if known {
		m.lag.Observe(now, now.Sub(since))
	}
}

// noteBehind notes that the instance lacks a point, and leaves it alone for a while that grows.
func (m *backend) noteBehind(now model.Instant) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.behindPause = min(max(2*m.behindPause, minBehindPause), maxBehindPause)
	m.behindUntil = now.Add(m.behindPause)
}

// noteCaughtUp notes that the instance held the point that it was asked for.
func (m *backend) noteCaughtUp() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.behindPause, m.behindUntil = 0, 0
}

// report returns what traffic saw of the instance.
func (m *backend) report(now time.Time) governor.Report {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	health := m.health
	health.Stalled = m.stalled(now)
	return governor.Report{Health: health, Load: m.lane.Load()}
}

// stalled reports whether answers are overdue; the caller holds the lock.
func (m *backend) stalled(now time.Time) bool {
	return m.outstanding > 0 && now.Sub(m.overdueSince) > stallTimeout
}

// noteConnectionRefusal notes a refusal of a connection as one too many.
func (m *backend) noteConnectionRefusal(code model.Code) {
	if code != model.CodeConnectionsFull {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lastFull = time.Now()
}

// skipsProbe reports whether a probe would only take room: the host has no connection to an instance that answers, and is
// opening its first one or was refused one of late.
func (m *backend) skipsProbe(now time.Time) bool {
	counts := m.lane.Pool.Counts()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return counts.Open == 0 && m.health.Silent.IsZero() && (counts.Opening > 0 || now.Sub(m.lastFull) < fullProbeDelay)
}

// candidate returns the instance as the choice of an instance sees it.
func (m *backend) candidate(now time.Time, kind model.KindID, primary model.InstanceID) place.Candidate {
	expected := m.lane.Expect(now, kind)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return place.Candidate{
		Primary:  m.instance.ID == primary,
		Avoid:    m.leaving || !m.health.Silent.IsZero() || m.stalled(now),
		Expected: expected,
		Trip:     m.rtt,
		Reached:  m.reached,
		Behind:   m.behindUntil,
		Lag:      m.lag.At(clock.Boot()),
	}
}

// readRequirement returns the point that a read of the kind must find, now and for a session's newest commit.
func (g *replicaSet) readRequirement(kind model.Kind, commit model.Point) place.Want {
	want := place.Want{Now: clock.Boot()}
	if kind.Reads == model.ReadNewest {
		return want
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	want.Least, want.Known = g.marks.Least(want.Now, kind.Age.Duration())
	if want.Known && kind.Reads == model.ReadOwn {
		want.Least = g.marks.Own(want.Least, commit)
	}
	if at, known := g.marks.Reached(want.Least); known {
		want.Written = at
	}
	return want
}
