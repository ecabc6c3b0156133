package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"redwingspread/internal/boundary"
	"redwingspread/internal/clock"
	"redwingspread/internal/controller"
	"redwingspread/internal/event"
	"redwingspread/internal/mesh"
	"redwingspread/internal/model"
	"redwingspread/internal/retry"
)

const (
	// longPollLimit is the time after which a poll without an answer is given up where nobody waits for the changes of the table.
	longPollLimit = 12 * time.Second
	// leastPollLimit is the least such time.
	leastPollLimit = time.Second
	// seldomPause is the least time between two polls after a failure where other hosts, which reach the store first once it is
	// back, poll it more often; a third of the time within which a configuration must be in force.
	seldomPause = 2 * time.Second
	// leastSlack and mostSlack are how much longer than the store may hold a poll its response may take: twice what the latest one took.
	leastSlack = 300 * time.Millisecond
	mostSlack  = 2 * time.Second
	// pollInterval is the minimum time between two polls of a table, so that a burst of changes costs few calls.
	pollInterval = 400 * time.Millisecond
	// instanceSpread is the factor on pollInterval up to which instances that keep changing are polled more rarely, as while a
	// fleet of them starts. Traffic notices before the entries when one of them fails.
	instanceSpread = 4
	// hostPollInterval is the same as pollInterval for the hosts' rows, which all change when the fleet starts. A starting host reads them and
	// announces itself to the others, so they need not see its row soon.
	hostPollInterval = 4 * time.Second
	// restoredSpread is the time over which the hosts of a fleet read a table anew after the store has come back from an older copy: the
	// store serves 2,000 calls a second, and 300 hosts read three tables each.
	restoredSpread = 500 * time.Millisecond
	// rewriteSpread is the time over which the hosts of a fleet write rows again that the store has lost: 300 hosts write one each, and the
	// store takes 400 writes a second.
	rewriteSpread = 2 * time.Second
	// fullReadInterval is the time between full reads of a table while the store keeps no history: a third of the shortest time
	// within which a configuration must be in force.
	fullReadInterval = time.Second
	// fullReadCount is the number of full reads before changes are polled again.
	fullReadCount = 4
	// rowsReadWait is how long a starting host waits for the first read of the hosts' rows before it creates a key.
	rowsReadWait = 250 * time.Millisecond
	// readTimeout limits a call that does not wait for a change; a slow store takes a few hundred milliseconds.
	readTimeout = 2 * time.Second
)

// table is a table of the store that the host follows.
type table[T any] struct {
	name     string
	interval time.Duration
	spread   int // factor on the interval up to which it grows while each poll finds a change
	read     func(ctx context.Context, after model.StorePosition, wait time.Duration) (T, model.StorePosition, error)
	apply    func(ctx context.Context, update T) error
	pace     func() pollPace
	confirm  func(at model.Instant) // called when the table that the host knows was up to date at a moment not before the given one; nil for none
}

// pollPace is how a host polls a table.
type pollPace struct {
	limit        time.Duration // after which a poll without a response is given up
	failurePause time.Duration // least pause after a failure
	idle         bool          // the host learns of changes from other hosts
}

// followAll follows all tables until the context ends, then sends its result on done.
func (h *Host) followAll(ctx context.Context, done chan<- error) {
	ended := make(chan error, 4)
	go follow(ctx, h, table[controller.DirectoryUpdate]{
		name: "configuration", interval: pollInterval, spread: 1, read: h.Platform.Configuration, apply: h.sendUpdate,
		pace:    func() pollPace { return h.pollPace(pollLimit(h.Settings.ApplyLimit)) },
		confirm: h.noteConfigurationHeard,
	}, ended)
	go follow(ctx, h, table[controller.DirectoryUpdate]{
		name: "instances", interval: pollInterval, spread: instanceSpread, read: h.Platform.Instances, apply: h.sendUpdate,
		pace: func() pollPace { return h.pollPace(pollLimit(h.Settings.LeaveLimit / 2)) }, // the other half is the grace period of missing entries
	}, ended)
	go follow(ctx, h, table[HostRows]{
		name: "hosts", interval: hostPollInterval, spread: 1, read: h.Platform.Hosts, apply: h.applyHostRows, pace: h.hostPollPace,
	}, ended)
	go h.registerLoop(ctx, ended)
	for range 4 {
		<-ended
	}
	done <- ctx.Err()
}

// sendUpdate sends an update to the control loop.
func (h *Host) sendUpdate(ctx context.Context, update controller.DirectoryUpdate) error {
	return h.Loop.Send(ctx, update)
}

// registerLoop registers the host and loads the shared key, writes rows again that the store loses later, and sends its result on done
// when the context ends.
func (h *Host) registerLoop(ctx context.Context, done chan<- error) {
	h.retry(ctx, "store: own row", h.register)
	for era := h.storeEra(); ctx.Err() == nil; {
		changed := h.Loop.Changed()
		if newest := h.storeEra(); newest > era {
			era = newest
			if clock.Pause(ctx, rand.N(rewriteSpread)) == nil {
				h.retry(ctx, "store: lost rows", h.restoreRows)
			}
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	done <- ctx.Err()
}

// retry calls a function until it succeeds or the context ends.
func (h *Host) retry(ctx context.Context, name string, call func(context.Context) error) {
	for backoff := retry.NewSharedBackoff(); ctx.Err() == nil; {
		err := call(ctx)
		if err == nil {
			return
		}
		event.DependencyLost(h.Logger, name, err)
		_ = clock.Pause(ctx, backoff.Next(0)) // the loop condition checks for the end of the context
	}
}

// register writes the host's row, and creates the shared key if there is none.
func (h *Host) register(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := h.Platform.WriteHost(callCtx, h.self); err != nil {
		return err
	}
	select {
	case <-h.rowsRead:
	case <-time.After(rowsReadWait):
	case <-ctx.Done():
	}
	if h.mesh.HasKey() {
		return nil
	}
	key, err := h.Platform.CreateKey(callCtx, mesh.NewKey())
	if err != nil {
		return err
	}
	h.mesh.SetKey(key)
	return nil
}

// applyHostRows applies the shared key and sends the other rows to the control loop.
func (h *Host) applyHostRows(ctx context.Context, rows HostRows) error {
	if rows.Key != nil {
		h.mesh.SetKey(*rows.Key)
	}
	h.noteRowsRead.Do(func() { close(h.rowsRead) })
	return h.Loop.Send(ctx, rows.MembershipUpdate)
}

// pollLimit returns the time after which a poll without a response is given up, for a table whose changes must be in force within
// the given time: two thirds of it, which leaves time to read the table again and to tell other hosts.
//
// The store holds a poll until something changes, so that a poll that it has dropped looks like one without changes. Nothing else
// shows the difference: the connection may be alive, and the other hosts' polls may have been dropped with it.
func pollLimit(inForce time.Duration) time.Duration { return max(inForce*2/3, leastPollLimit) }

// pollPace returns how this host polls the configuration or the instances.
func (h *Host) pollPace(limit time.Duration) pollPace { return paceOf(h.view().Following, limit) }

// hostPollPace is pollPace for the hosts' rows. Where the platform doesn't fence primaries, each host polls them, since other hosts
// wait until it has seen a promotion, for minorityWait at most.
func (h *Host) hostPollPace() pollPace {
	if h.unfenced() {
		return pollPace{limit: pollLimit(minorityWait)}
	}
	return h.pollPace(longPollLimit)
}

// paceOf returns how a host polls a table.
func paceOf(following controller.Following, limit time.Duration) pollPace {
	switch following {
	case controller.FollowHosts:
		return pollPace{idle: true}
	case controller.FollowEither:
		return pollPace{limit: limit, failurePause: seldomPause}
	}
	return pollPace{limit: limit}
}

// slack is how much longer than the store may hold a poll its response may take.
type slack struct{ overhead time.Duration }

// observe records how long a response took beyond the time for which the store may have held it.
func (s *slack) observe(took, wait time.Duration) {
	if took >= wait {
		s.overhead = took - wait
	}
}

// of returns the slack of a poll that is given up after the limit, which leaves the store at least half of that time.
func (s *slack) of(limit time.Duration) time.Duration {
	return min(max(2*s.overhead, leastSlack), mostSlack, limit/2)
}

// heldFor returns for how long the store has held a poll at least: for all of the wait if the response took that long.
func heldFor(took, wait time.Duration) time.Duration {
	if took < wait {
		return 0
	}
	return wait
}

// spacing is the pause between polls of one table: it grows while each poll finds a change at once.
type spacing struct {
	least, most time.Duration
	current     time.Duration
}

// next returns the pause after a poll that took so long.
func (s *spacing) next(took time.Duration) time.Duration {
	if took < s.least {
		s.current = min(2*s.current, s.most)
	} else {
		s.current = s.least
	}
	s.current = max(s.current, s.least)
	return s.current
}

// awaitTurn waits while the host has read a table and learns of its changes from other hosts.
func (h *Host) awaitTurn(ctx context.Context, pace func() pollPace) {
	for pace().idle {
		changed := h.Loop.Changed()
		if !pace().idle {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// follow applies each change of a table until the context ends, then sends its result on done.
//
// When the history has been truncated, or the store has come back from an older copy, it reads the full table. If the store truncates
// its history all the time, it polls for changes only now and then, since each such poll is a wasted call. After a failure the table is
// read without waiting until a read succeeds, since the next poll may be dropped too.
func follow[T any](ctx context.Context, h *Host, t table[T], done chan<- error) {
	after := model.StorePosition{}
	lostSince := time.Time{}
	backoff := retry.NewSharedBackoff()
	between := spacing{least: t.interval, most: t.interval * time.Duration(t.spread)}
	overhead := slack{}
	fullRead, fullReadsLeft := false, 0 // the latest response was a full table; number of full reads left
	for ctx.Err() == nil {
		if after.Revision != 0 {
			h.awaitTurn(ctx, t.pace)
		}
		pace := t.pace()
		wait, limit := pace.limit-overhead.of(pace.limit), pace.limit
		if after.Revision == 0 || !lostSince.IsZero() {
			wait, limit = 0, readTimeout
		}
		callCtx, cancel := context.WithTimeout(ctx, limit)
		sent, sentAt := time.Now(), clock.Boot()
		var update T
		var position model.StorePosition
		err := boundary.Run(func() (err error) {
			update, position, err = t.read(callCtx, after, wait)
			return err
		})
		cancel()
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, ErrStoreRestored):
			event.StoreRestored(h.Logger, t.name, after.Era, after.Revision, position.Era, position.Revision)
			h.counters.Restores.Add(1)
			after = model.StorePosition{}
			_ = clock.Pause(ctx, rand.N(restoredSpread)) // the loop condition checks for the end of the context
		case errors.Is(err, ErrHistoryTruncated):
			after = model.StorePosition{}
			if fullRead {
				fullReadsLeft = fullReadCount
			}
		case err != nil:
			if lostSince.IsZero() {
				lostSince = time.Now()
				h.tablesLost.Add(1)
				event.DependencyLost(h.Logger, "store: "+t.name, err)
			}
			_ = clock.Pause(ctx, backoff.Next(pace.failurePause)) // the loop condition checks for the end of the context
		default:
			h.counters.noteAnswer(t.name)
			overhead.observe(time.Since(sent), wait)
			if !lostSince.IsZero() {
				event.DependencyRegained(h.Logger, "store: "+t.name, model.Millis(time.Since(lostSince)))
				lostSince = time.Time{}
				h.tablesLost.Add(-1)
				backoff = retry.NewSharedBackoff()
			}
			_ = t.apply(ctx, update) // fails only when the context ends
			if t.confirm != nil {
				t.confirm(sentAt.Add(heldFor(time.Since(sent), wait)))
			}
			fullRead = after.Revision == 0
			pause := between.next(time.Since(sent))
			if fullReadsLeft > 0 {
				fullReadsLeft--
				pause = max(pause, fullReadInterval)
			} else {
				after = after.Latest(position)
			}
			_ = clock.Pause(ctx, pause) // the loop condition checks for the end of the context
		}
	}
	done <- ctx.Err()
}
