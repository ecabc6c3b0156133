package front

import (
	"context"
	"errors"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/controller"
	"redwingspread/internal/event"
	"redwingspread/internal/mesh"
	"redwingspread/internal/model"
	"redwingspread/internal/retry"
)

const (
	// feedWait is how long the store may hold a question for changes: few calls, and a connection that went silent is
	// noticed by the keep-alive meanwhile.
	feedWait = 10 * time.Second
	// feedSlack is the time that an answer may take beyond the wait.
	feedSlack = 2 * time.Second
	// feedSpacing is the least time between two questions for one table, so that changes in quick succession cost few calls.
	feedSpacing = 400 * time.Millisecond
	// hostSpacing is the same for the hosts' rows, of which all change when a fleet starts; a host that starts reads them and
	// tells the others itself, so that they need not hear of it soon.
	hostSpacing = 4 * time.Second
	// blindSpacing is the time between two readings of a whole table while the store keeps no history: a third of the shortest
	// time in which a configuration must be in force.
	blindSpacing = time.Second
	// blindReads is the number of such readings before changes are asked for again.
	blindReads = 4
	// readTimeout is the time for an answer that waits for nothing; a slow store takes a few hundred milliseconds.
	readTimeout = 2 * time.Second
)

// source is one table of the store that the host follows.
type source[T any] struct {
	name    string
	spacing time.Duration
	read    func(ctx context.Context, after model.Revision, wait time.Duration) (T, model.Revision, error)
	take    func(ctx context.Context, news T) error
}

// followAll follows the store until the context ends and reports its end on done.
func (h *Host) followAll(ctx context.Context, done chan<- error) {
	ended := make(chan error, 4)
	go follow(ctx, h, source[controller.DirectoryUpdate]{"configuration", feedSpacing, h.Platform.Configuration, h.tell}, ended)
	go follow(ctx, h, source[controller.DirectoryUpdate]{"instances", feedSpacing, h.Platform.Instances, h.tell}, ended)
	go follow(ctx, h, source[Rows]{"hosts", hostSpacing, h.Platform.Hosts, h.enrol}, ended)
	go h.enterAll(ctx, ended)
	for range 4 {
		<-ended
	}
	done <- ctx.Err()
}

// tell hands news to control.
func (h *Host) tell(ctx context.Context, news controller.DirectoryUpdate) error {
	return h.Loop.Send(ctx, news)
}

// enterAll enters the host among the others and learns their key, tries until it has, and reports its end on done.
func (h *Host) enterAll(ctx context.Context, done chan<- error) {
	for backoff := retry.NewSharedBackoff(); ctx.Err() == nil; {
		err := h.enter(ctx)
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

// enter writes the host's row and the common key, unless there is one.
func (h *Host) enter(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := h.Platform.SetHost(limited, h.self); err != nil {
		return err
	}
	key, err := h.Platform.CreateKey(limited, mesh.NewKey())
	if err != nil {
		return err
	}
	h.mesh.SetKey(key)
	return nil
}

// enrol hands the hosts' rows on.
func (h *Host) enrol(ctx context.Context, rows Rows) error {
	if rows.Key != nil {
		h.mesh.SetKey(*rows.Key)
	}
	return h.Loop.Send(ctx, rows.MembershipUpdate)
}

// follow hands on each change of a table until the context ends and reports its end on done.
//
// When the history is gone it reads the whole table anew; when that does not help, since the store drops its history all the
// while, it asks for changes only now and then, as each such question would cost a call for nothing. A table that was lost is asked without a wait until it answers,
// since a connection that holds a question may go silent again.
func follow[T any](ctx context.Context, h *Host, s source[T], done chan<- error) {
	after := model.Revision(0)
	lost := time.Time{}
	backoff := retry.NewSharedBackoff()
	anew, blind := false, 0 // the newest answer was a whole table; whole readings to come
	for ctx.Err() == nil {
		wait, limit := feedWait, feedWait+feedSlack
		if after == 0 || !lost.IsZero() {
			wait, limit = 0, readTimeout
		}
		limited, cancel := context.WithTimeout(ctx, limit)
		news, revision, err := s.read(limited, after, wait)
		cancel()
		switch {
		case ctx.Err() != nil:
		case errors.Is(err, ErrHistory):
			after = 0
			if anew {
				blind = blindReads
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
			_ = s.take(ctx, news) // fails only at the context's end
			anew = after == 0
			pause := s.spacing
			if blind > 0 {
				blind--
				pause = max(pause, blindSpacing)
			} else {
				after = max(after, revision)
			}
			_ = clock.Pause(ctx, pause) // as above
		}
	}
	done <- ctx.Err()
}
