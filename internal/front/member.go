package front

import (
	"context"
	"errors"
	"sync"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/controller"
	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/freshness"
	"redwingspread/internal/model"
	"redwingspread/internal/placement"
	"redwingspread/internal/scheduler"
	"redwingspread/internal/session"
)

const (
	dialTimeout   = 400 * time.Millisecond // several round trips between regions and the cost of a connection
	stallAfter    = 250 * time.Millisecond // without any answer while some are outstanding
	leastBehind   = 30 * time.Millisecond  // a replica that lacked a point is left alone at least so long
	mostBehind    = 400 * time.Millisecond // a replica that lags for long is asked again this often
	fullRest      = 500 * time.Millisecond // after an opening that the instance refused as one too many
	fullProbe     = 2 * time.Second        // without a probe after that: the instance answers, and others have its connections
	urgentFloor   = model.Percent(0)       // the most urgent rank goes first and needs no floor
	commonFloor   = model.Percent(10)      // of slot time, kept for each of the other ranks in a flood of urgent work
	warmOfReplica = 1
)

// link is an open connection to an instance and what sessions left on it.
//
// An idle connection to a primary has a transaction begun ahead of its use. An instance that no longer leads refuses each
// statement of such a transaction, so that whatever runs in it ran on a primary, without a round trip for the begin.
type link struct {
	Endpoint
	footing *session.ConnectionState
	begun   bool
	version model.Version // of the configuration under which it was begun
}

// keep notes that a transaction was begun ahead.
func (l *link) keep(version model.Version, begun bool) { l.begun, l.version = begun, version }

// group is one database as traffic sees it.
type group struct {
	mutex   sync.Mutex
	marks   freshness.PointHistory
	members []*member
}

// member is one instance as traffic sees it.
type member struct {
	entry directory.Instance // immutable
	group *group
	lane  *scheduler.Scheduler[*link]
	trip  time.Duration
	dial  func(ctx context.Context, instance directory.Instance) (Endpoint, error)

	cancel context.CancelFunc
	done   chan error

	mutex       sync.Mutex
	health      failover.Health
	outstanding int
	progress    time.Time // of the newest answer
	since       time.Time // since when answers are overdue: the newest answer, or the first statement after it
	reached     model.Point
	behind      model.Instant
	pause       time.Duration
	lag         placement.Lag
	leaving     bool
	full        time.Time // of the newest refusal of a connection as one too many
}

// newMember returns an instance of a group, whose lane runs until it is closed.
func newMember(ctx context.Context, g *group, entry directory.Instance, trip time.Duration, dial func(context.Context, directory.Instance) (Endpoint, error)) *member {
	m := &member{entry: entry, group: g, trip: trip, dial: dial, lane: scheduler.New[*link](), done: make(chan error, 1)}
	m.health.Instance = entry.ID
	m.lane.Floors = [model.RankCount]model.Percent{urgentFloor, commonFloor, commonFloor}
	m.lane.MinConnections = warmOfReplica
	m.lane.RoundTrip = trip
	m.lane.Pool.MaxOpening = 2
	m.lane.Pool.Open = m.open
	m.lane.Pool.Close = func(_ context.Context, l *link) error { return l.Close() }
	m.lane.Pool.MinBackOff = func(err error) time.Duration {
		if model.CodeOf(err) == model.CodeConnectionsFull {
			return fullRest
		}
		return 0
	}
	ctx, m.cancel = context.WithCancel(ctx)
	go m.lane.Run(ctx, m.done)
	return m
}

// close ends the lane and waits for its end.
func (m *member) close() {
	m.cancel()
	<-m.done
}

// open opens a connection.
func (m *member) open(ctx context.Context) (*link, error) {
	limited, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	begun := time.Now()
	endpoint, err := m.dial(limited, m.entry)
	if err == nil {
		m.answered(time.Now())
		return &link{Endpoint: endpoint, footing: session.NewConnectionState()}, nil
	}
	var refusal *model.Refusal
	switch {
	case errors.As(err, &refusal):
		m.answered(time.Now())
		m.filled(refusal.Code)
	case ctx.Err() == nil:
		m.failed(begun)
	}
	return nil, err
}

// asked notes a statement on its way.
func (m *member) asked(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.outstanding == 0 {
		m.since = now
	}
	m.outstanding++
}

// settled notes that a statement is no longer outstanding.
func (m *member) settled() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.outstanding--
}

// answered notes that the instance answers.
func (m *member) answered(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.progress = now
	m.since = now
	m.health.SilentSince = time.Time{}
}

// failed notes that the instance did not answer what was sent at the moment, or broke a connection off.
func (m *member) failed(sent time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.health.SilentSince.IsZero() && sent.After(m.progress) {
		m.health.SilentSince = sent
	}
}

// led notes that the instance proved, in a statement sent at the moment, that it leads, and where its log was.
func (m *member) led(sent model.Instant, point model.Point) {
	m.mutex.Lock()
	m.health.LastProof = time.Now()
	m.health.Term = max(m.health.Term, point.Term)
	m.mutex.Unlock()
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	m.group.marks.Observe(sent, point)
}

// refused notes that the instance does not lead.
func (m *member) refused() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.health.LastRefusal = time.Now()
}

// leads reports whether the newest word of the instance is that it leads.
func (m *member) leads() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.health.LastProof.After(m.health.LastRefusal) && m.health.SilentSince.IsZero()
}

// saw notes the position in an answer, from which the age of the log follows.
func (m *member) saw(now model.Instant, point model.Point) {
	m.group.mutex.Lock()
	since, known := m.group.marks.ReachedAt(point)
	m.group.mutex.Unlock()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if point.Compare(m.reached) > 0 {
		m.reached = point
	}
	if known {
		m.lag.Observe(now, now.Sub(since))
	}
}

// lacked notes that the instance lacks a point, and leaves it alone for a while that grows.
func (m *member) lacked(now model.Instant) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.pause = min(max(2*m.pause, leastBehind), mostBehind)
	m.behind = now.Add(m.pause)
}

// held notes that the instance held the point that it was asked for.
func (m *member) held() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.pause, m.behind = 0, 0
}

// report returns what traffic saw of the instance.
func (m *member) report(now time.Time) controller.InstanceReport {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	health := m.health
	health.Overdue = m.stalled(now)
	return controller.InstanceReport{Health: health, Load: m.lane.Load()}
}

// stalled reports whether answers are overdue; the caller holds the lock.
func (m *member) stalled(now time.Time) bool {
	return m.outstanding > 0 && now.Sub(m.since) > stallAfter
}

// filled notes a refusal of a connection as one too many.
func (m *member) filled(code model.Code) {
	if code != model.CodeConnectionsFull {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.full = time.Now()
}

// crowded reports whether a probe would only take room: the host has no connection to an instance that answers, and is
// opening its first one or was refused one of late.
func (m *member) crowded(now time.Time) bool {
	counts := m.lane.Pool.Counts()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return counts.Open == 0 && m.health.SilentSince.IsZero() && (counts.Opening > 0 || now.Sub(m.full) < fullProbe)
}

// candidate returns the instance as the choice of an instance sees it.
func (m *member) candidate(now time.Time, kind model.KindID, primary model.InstanceID) placement.Candidate {
	expected := m.lane.ExpectedLatency(now, kind)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return placement.Candidate{
		Primary:     m.entry.ID == primary,
		Avoid:       m.leaving || !m.health.SilentSince.IsZero() || m.stalled(now),
		Expected:    expected,
		RoundTrip:   m.trip,
		Reached:     m.reached,
		BehindUntil: m.behind,
		Lag:         m.lag.At(clock.Boot()),
	}
}

// needed returns the point that a read of the kind must find, now and for a session's newest commit.
func (g *group) needed(kind model.Kind, commit model.Point) placement.Requirement {
	want := placement.Requirement{Now: clock.Boot()}
	if kind.Consistency == model.ReadLatest {
		return want
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	want.MinPoint, want.PointKnown = g.marks.MinPoint(want.Now, kind.MaxAge.Duration())
	if want.PointKnown && kind.Consistency == model.ReadYourWrites {
		want.MinPoint = g.marks.WithCommit(want.MinPoint, commit)
	}
	if at, known := g.marks.ReachedAt(want.MinPoint); known {
		want.WrittenAt = at
	}
	return want
}
