package front

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/controller"
	"redwingspread/internal/directory"
	"redwingspread/internal/event"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

const (
	changeTimeout = 5 * time.Second
	inspectTime   = 300 * time.Millisecond // for the standing of a replica
	catchUpTime   = 500 * time.Millisecond // for a replica to receive what a demoted primary holds
	catchUpPause  = 15 * time.Millisecond
	claimTries    = 3
	orderTries    = 4 // of one promotion with the same token, which may be repeated
	orderTimeout  = 400 * time.Millisecond
	farBehind     = time.Second // a replica that lacks more than the commits of this time is far behind
)

// The reasons why a change does not come about.
var (
	errTaken     = errors.New("another host has changed the primary")
	errNoReplica = errors.New("no replica answers")
	errBack      = errors.New("the primary answers again")
)

// change has another instance lead a database, and returns the row as it stands afterwards.
func (h *Host) change(ctx context.Context, c controller.ChangePrimary) (changed controller.PrimaryChangeDone) {
	changed = controller.PrimaryChangeDone{Database: c.Database}
	limited, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	defer func() {
		if changed.Err != nil {
			changed.Err = fmt.Errorf("change of the primary of %s: %w", c.Database, changed.Err)
		}
	}()
	row, err := h.readLead(limited, c.Database)
	if err != nil {
		changed.Err = err
		return changed
	}
	changed.Promotion = &row
	if row.Token > c.Promotion.Token {
		changed.Err = errTaken
		return changed
	}
	best, err := h.successor(limited, c)
	if err != nil {
		changed.Err = err
		return changed
	}
	changed.Instance = best.Instance
	claimed, err := h.claim(limited, row, best.Instance)
	if err != nil {
		changed.Err = err
		return changed
	}
	changed.Promotion = &claimed
	if c.Demote {
		h.demote(limited, c, best.Instance)
	}
	event.PromotionOrdered(h.Logger, c.Database, best.Instance, claimed.Token, pointText(best.Received), c.Reason)
	h.counters.Promotions.Add(1)
	changed.Err = h.order(limited, claimed)
	return changed
}

// pointText returns a point for the log.
func pointText(p model.Point) string { return fmt.Sprintf("%d.%d", p.Term, p.Position) }

// readLead reads the newest row.
func (h *Host) readLead(ctx context.Context, database model.DatabaseID) (controller.Promotion, error) {
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return h.Platform.Lead(limited, database)
}

// claim writes the row with the next token, which no other host can get; a lost answer is settled by reading.
func (h *Host) claim(ctx context.Context, row controller.Promotion, instance model.InstanceID) (controller.Promotion, error) {
	next := row
	next.Instance = instance
	next.Token = row.Token + 1
	next.Holder = h.self.ID
	next.Nonce = model.Nonce(rand.Text())
	err := errTaken
	for range claimTries {
		if err = h.setLead(ctx, next); errors.Is(err, ErrConflict) {
			err = nil
		}
		if ctx.Err() != nil {
			return next, ctx.Err()
		}
		stands, readErr := h.readLead(ctx, row.Database)
		switch {
		case readErr != nil:
			err = errors.Join(err, readErr)
		case stands.Nonce == next.Nonce:
			return stands, nil
		case stands.Token >= next.Token:
			return stands, errTaken
		}
	}
	return next, err
}

// setLead writes the row.
func (h *Host) setLead(ctx context.Context, lead controller.Promotion) error {
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return h.Platform.SetLead(limited, lead)
}

// successor asks the replicas where they stand and returns the one to promote.
//
// While all lack much of what the primary had, it waits for the primary, or for a better replica, to come back.
func (h *Host) successor(ctx context.Context, c controller.ChangePrimary) (failover.Candidate, error) {
	for {
		best, found := failover.Successor(h.standings(ctx, c.Primary, c.Replicas))
		patient := time.Since(c.Since) < failover.DefaultTiming().ReturnGrace && !c.Demote
		if found && (!patient || !h.lacksMuch(c.Database, best.Received)) {
			return best, nil
		}
		if !patient {
			return best, errNoReplica
		}
		if m := h.member(c.Primary.ID); m != nil && m.probe(ctx, h.view().Directory.Version) == nil && m.leads() {
			return best, errBack
		}
		if err := clock.Pause(ctx, catchUpPause*10); err != nil {
			return best, err
		}
	}
}

// lacksMuch reports whether a point lies far behind the newest one that the primary proved.
func (h *Host) lacksMuch(database model.DatabaseID, point model.Point) bool {
	g := h.group(database)
	if g == nil {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.marks.LagOf(point) > farBehind
}

// standings asks the replicas where they stand, all at once.
func (h *Host) standings(ctx context.Context, primary directory.Instance, replicas []directory.Instance) (candidates []failover.Candidate) {
	answers := make(chan failover.Candidate, len(replicas))
	failed := make(chan error, len(replicas))
	for _, replica := range replicas {
		go func() {
			standing, err := h.inspect(ctx, replica.ID, statement.Command{Statement: statement.Statement{Verb: statement.Status}})
			if err != nil {
				failed <- err
				return
			}
			answers <- failover.Candidate{
				Instance:       replica.ID,
				Received:       standing.Received,
				SameDataCentre: replica.DataCentre == primary.DataCentre,
				Leaving:        replica.Leaving,
			}
		}()
	}
	for range replicas {
		select {
		case candidate := <-answers:
			candidates = append(candidates, candidate)
		case err := <-failed:
			event.DependencyLost(h.Logger, "standing of a replica", err)
		}
	}
	return candidates
}

// inspect sends a command that is answered with the instance's standing.
func (h *Host) inspect(ctx context.Context, id model.InstanceID, command statement.Command) (standing statement.Standing, err error) {
	m := h.member(id)
	if m == nil {
		return standing, errNoReplica
	}
	limited, cancel := context.WithTimeout(ctx, inspectTime)
	defer cancel()
	err = m.with(limited, func(l *link) error {
		if err = l.settle(time.Now().Add(inspectTime)); err != nil {
			return err
		}
		standing, err = l.Inspect(command, time.Now().Add(inspectTime))
		return err
	})
	return standing, err
}

// demote stops the primary, so that it acknowledges nothing more, and waits for the successor to receive what it holds.
//
// A primary that can't be told, or a replica that does not catch up in time, holds the change up no longer: then the
// promotion stops the primary.
func (h *Host) demote(ctx context.Context, c controller.ChangePrimary, successor model.InstanceID) {
	status := statement.Command{Statement: statement.Statement{Verb: statement.Status}}
	before, err := h.inspect(ctx, c.Primary.ID, status)
	if err != nil {
		event.DependencyLost(h.Logger, "standing of the primary", err)
		return
	}
	after, err := h.inspect(ctx, c.Primary.ID, statement.Command{Term: before.Term + 1, Statement: statement.Statement{Verb: statement.Demote}})
	if err != nil {
		event.DependencyLost(h.Logger, "demotion of the primary", err)
		return
	}
	for limit := time.Now().Add(catchUpTime); time.Now().Before(limit); {
		standing, err := h.inspect(ctx, successor, status)
		if err == nil && standing.Received.Compare(after.Received) >= 0 {
			return
		}
		if clock.Pause(ctx, catchUpPause) != nil {
			return
		}
	}
}

// order orders the promotion; a lost answer is no answer, so that it is ordered again with the same token.
func (h *Host) order(ctx context.Context, lead controller.Promotion) (err error) {
	order := Order{Database: lead.Database, Instance: lead.Instance, Token: lead.Token}
	for range orderTries {
		limited, cancel := context.WithTimeout(ctx, orderTimeout)
		err = h.Platform.Promote(limited, h.self.ID, order)
		cancel()
		var refusal *model.Refusal
		if err == nil || errors.As(err, &refusal) || ctx.Err() != nil {
			return err
		}
	}
	return err
}
