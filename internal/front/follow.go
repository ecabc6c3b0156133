package front

import (
	"context"
	"errors"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/event"
	"redwingspread/internal/governor"
	"redwingspread/internal/mesh"
	"redwingspread/internal/model"
	"redwingspread/internal/retry"
)

const (
	// longPollWait is how long the store may hold a question for changes: few calls, and a connection that went silent is
	// noticed by the keep-alive meanwhile.
	longPollWait = 10 * time.Second
	// longPollSlack is the time that an answer may take beyond the wait.
	longPollSlack = 2 * time.Second
	// pollInterval is the least time between two questions for one table, so that changes in quick succession cost few calls.
	pollInterval = 400 * time.Millisecond
	// hostPollInterval is the same for the hosts' rows, of which all change when a fleet starts; a host that starts reads them and
	// tells the others itself, so that they need not hear of it soon.
	hostPollInterval = 4 * time.Second
	// fullReadInterval is the time between two readings of a whole table while the store keeps no history: a third of the shortest
	// time in which a configuration must be in force.
	fullReadInterval = time.Second
	// fullReadCount is the number of such readings before changes are asked for again.
	fullReadCount = 4
	// readTimeout is the time for an answer that waits for nothing; a slow store takes a few hundred milliseconds.
	readTimeout = 2 * time.Second
)

// table is one table of the store that the host follows.
type table[T any] struct {
	name     string
	interval time.Duration
	read     func(ctx context.Context, after model.Revision, wait time.Duration) (T, model.Revision, error)
	apply    func(ctx context.Context, news T) error
}

// followAll follows the store until the context ends and reports its end on done.
func (h *Host) followAll(ctx context.Context, done chan<- error) {
	ended := make(chan error, 4)
	go follow(ctx, h, table[governor.News]{"configuration", pollInterval, h.Platform.Configuration, h.sendNews}, ended)
	go follow(ctx, h, table[governor.News]{"instances", pollInterval, h.Platform.Instances, h.sendNews}, ended)
	go follow(ctx, h, table[HostRows]{"hosts", hostPollInterval, h.Platform.Hosts, h.applyHostRows}, ended)
	go h.registerLoop(ctx, ended)
	for range 4 {
		<-ended
	}
	done <- ctx.Err()
}

// sendNews hands news to control.
func (h *Host) sendNews(ctx context.Context, news governor.News) error {
	return h.Loop.Send(ctx, news)
}

// registerLoop enters the host among the others and learns their key, tries until it has, and reports its end on done.
func (h *Host) registerLoop(ctx context.Context, done chan<- error) {
	for backoff := retry.NewSharedBackoff(); ctx.Err() == nil; {
		err := h.register(ctx)
		if err == nil {
			break
		}
		event.DependencyLost(h.Logger, "store: own row", err)
		if clock.Pause(ctx, backoff.Next(0)) != nil {
			break
		}
	}
	done <- ctx.Err()
}

// register writes the host's row and the common key, unless there is one.
func (h *Host) register(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := h.Platform.WriteHost(limited, h.self); err != nil {
		return err
	}
	key, err := h.Platform.CreateKey(limited, mesh.NewKey())
	if err != nil {
		return err
	}
	h.mesh.SetKey(key)
	return nil
}

// applyHostRows hands the hosts' rows on.
func (h *Host) applyHostRows(ctx context.Context, rows HostRows) error {
	if rows.Key != nil {
		h.mesh.SetKey(*rows.Key)
	}
	return h.Loop.Send(ctx, rows.Roster)
}

// follow hands on each change of a table until the context ends and reports its end on done.
//
// When the history is gone it reads the whole table anew; when that does not help, since the store drops its history all the
// while, it asks for changes only now and then, as each such question would cost a call for nothing. A table that was lost is asked without a wait until it answers,
// since a connection that holds a question may go silent again.
func follow[T any](ctx context.Context, h *Host, s table[T], done chan<- error) {
	after := model.Revision(0)
	lost := time.Time{}
	backoff := retry.NewSharedBackoff()
	anew, blind := false, 0 // the newest answer was a whole table; whole readings to come
	for ctx.Err() == nil {
		wait, limit := longPollWait, longPollWait+longPollSlack
		if after == 0 || !lost.IsZero() {
			wait, limit = 0, readTimeout
		}
		limited, cancel := context.WithTimeout(ctx, limit)
		news, revision, err := s.read(limited, after, wait)
		cancel()
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, ErrHistoryTruncated):
			after = 0
			if anew {
				blind = fullReadCount
			}
		case err != nil:
			if lost.IsZero() {
				lost = time.Now()
				event.DependencyLost(h.Logger, "store: "+s.name, err)
			}
			_ = clock.Pause(ctx, backoff.Next(0)) // the loop's condition sees the context's end
		default:
			if !lost.IsZero() {
				event.DependencyRegained(h.Logger, "store: "+s.name, model.Millis(time.Since(lost)))
				lost = time.Time{}
				backoff = retry.NewSharedBackoff()
			}
			_ = s.apply(ctx, news) // fails only at the context's end
			anew = after == 0
			pause := s.interval
			if blind > 0 {
				blind--
				pause = max(pause, fullReadInterval)
			} else {
				after = max(after, revision)
			}
			_ = clock.Pause(ctx, pause) // as above
		}
	}
	done <- ctx.Err()
}
