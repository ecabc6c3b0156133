package front

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/directory"
	"redwingspread/internal/event"
	"redwingspread/internal/failover"
	"redwingspread/internal/governor"
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

const (
	replaceTimeout  = 5 * time.Second
	statusTimeout   = 300 * time.Millisecond // for the standing of a replica
	catchUpTimeout  = 500 * time.Millisecond // for a replica to receive what a demoted primary holds
	catchUpInterval = 15 * time.Millisecond
	claimAttempts   = 3
	orderAttempts   = 4 // of one promotion with the same token, which may be repeated
	orderTimeout    = 400 * time.Millisecond
	farBehind       = time.Second // a replica that lacks more than the commits of this time is far behind
)

// The reasons why a change does not come about.
var (
	errPrimaryChanged = errors.New("another host has changed the primary")
	errNoReplica      = errors.New("no replica answers")
	errPrimaryBack    = errors.New("the primary answers again")
)

// replacePrimary has another instance lead a database, and returns the row as it stands afterwards.
func (h *Host) replacePrimary(ctx context.Context, c governor.Change) (changed governor.Changed) {
	changed = governor.Changed{Database: c.Database}
	limited, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	defer func() {
		if changed.Err != nil {
			changed.Err = fmt.Errorf("change of the primary of %s: %w", c.Database, changed.Err)
		}
	}()
	row, err := h.readPromotion(limited, c.Database)
	if err != nil {
		changed.Err = err
		return changed
	}
	changed.Lead = &row
	if row.Token > c.Lead.Token {
		changed.Err = errPrimaryChanged
		return changed
	}
	best, err := h.chooseSuccessor(limited, c)
	if err != nil {
		changed.Err = err
		return changed
	}
	changed.Instance = best.Instance
	claimed, err := h.claimPromotion(limited, row, best.Instance)
	if err != nil {
		changed.Err = err
		return changed
	}
	changed.Lead = &claimed
	if c.Demote {
		h.demotePrimary(limited, c, best.Instance)
	}
	event.PromotionOrdered(h.Logger, c.Database, best.Instance, claimed.Token, formatPoint(best.Received), c.Reason)
	h.counters.Promotions.Add(1)
	changed.Err = h.orderPromotion(limited, claimed)
	return changed
}

// formatPoint returns a point for the log.
func formatPoint(p model.Point) string { return fmt.Sprintf("%d.%d", p.Term, p.Position) }

// readPromotion reads the newest row.
func (h *Host) readPromotion(ctx context.Context, database model.DatabaseID) (governor.Lead, error) {
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return h.Platform.ReadPromotion(limited, database)
}

// claimPromotion writes the row with the next token, which no other host can get; a lost answer is settled by reading.
func (h *Host) claimPromotion(ctx context.Context, row governor.Lead, instance model.InstanceID) (governor.Lead, error) {
	next := row
	next.Instance = instance
	next.Token = row.Token + 1
	next.Holder = h.self.ID
	next.Nonce = model.Nonce(rand.Text())
	err := errPrimaryChanged
	for range claimAttempts {
		if err = h.writePromotion(ctx, next); errors.Is(err, ErrConflict) {
			err = nil
		}
		if ctx.Err() != nil {
			return next, ctx.Err()
		}
		stands, readErr := h.readPromotion(ctx, row.Database)
		switch {
		case readErr != nil:
			err = errors.Join(err, readErr)
		case stands.Nonce == next.Nonce:
			return stands, nil
		case stands.Token >= next.Token:
			return stands, errPrimaryChanged
		}
	}
	return next, err
}

// writePromotion writes the row.
func (h *Host) writePromotion(ctx context.Context, lead governor.Lead) error {
	limited, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return h.Platform.WritePromotion(limited, lead)
}

// chooseSuccessor asks the replicas where they stand and returns the one to promote.
//
// While all lack much of what the primary had, it waits for the primary, or for a better replica, to come back.
func (h *Host) chooseSuccessor(ctx context.Context, c governor.Change) (failover.Candidate, error) {
	for {
		best, found := failover.Successor(h.replicaStatuses(ctx, c.Primary, c.Replicas))
		patient := time.Since(c.Since) < failover.DefaultTiming().Patience && !c.Demote
		if found && (!patient || !h.isFarBehind(c.Database, best.Received)) {
			return best, nil
		}
		if !patient {
			return best, errNoReplica
		}
		if m := h.backend(c.Primary.ID); m != nil && m.probe(ctx, h.view().Directory.Version) == nil && m.isPrimary() {
			return best, errPrimaryBack
		}
		if err := clock.Pause(ctx, catchUpInterval*10); err != nil {
			return best, err
		}
	}
}

// isFarBehind reports whether a point lies far behind the newest one that the primary proved.
func (h *Host) isFarBehind(database model.DatabaseID, point model.Point) bool {
	g := h.replicaSet(database)
	if g == nil {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.marks.Span(point) > farBehind
}

// replicaStatuses asks the replicas where they stand, all at once.
func (h *Host) replicaStatuses(ctx context.Context, primary directory.Instance, replicas []directory.Instance) (candidates []failover.Candidate) {
	answers := make(chan failover.Candidate, len(replicas))
	failed := make(chan error, len(replicas))
	for _, replica := range replicas {
		go func() {
			standing, err := h.requestStatus(ctx, replica.ID, statement.Command{Statement: statement.Statement{Verb: statement.Status}})
			if err != nil {
				failed <- err
				return
			}
			answers <- failover.Candidate{
				Instance: replica.ID,
				Received: standing.Received,
				Near:     replica.DataCentre == primary.DataCentre,
				Leaving:  replica.Leaving,
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

// requestStatus sends a command that is answered with the instance's standing.
func (h *Host) requestStatus(ctx context.Context, id model.InstanceID, command statement.Command) (standing statement.InstanceStatus, err error) {
	m := h.backend(id)
	if m == nil {
		return standing, errNoReplica
	}
	limited, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	err = m.withConn(limited, func(l *pooledConn) error {
		if err = l.rollbackBegun(time.Now().Add(statusTimeout)); err != nil {
			return err
		}
		standing, err = l.RequestStatus(command, time.Now().Add(statusTimeout))
		return err
	})
	return standing, err
}

// demotePrimary stops the primary, so that it acknowledges nothing more, and waits for the successor to receive what it holds.
//
// A primary that can't be told, or a replica that does not catch up in time, holds the change up no longer: then the
// promotion stops the primary.
func (h *Host) demotePrimary(ctx context.Context, c governor.Change, successor model.InstanceID) {
	status := statement.Command{Statement: statement.Statement{Verb: statement.Status}}
	before, err := h.requestStatus(ctx, c.Primary.ID, status)
	if err != nil {
		event.DependencyLost(h.Logger, "standing of the primary", err)
		return
	}
	after, err := h.requestStatus(ctx, c.Primary.ID, statement.Command{Term: before.Term + 1, Statement: statement.Statement{Verb: statement.Demote}})
	if err != nil {
		event.DependencyLost(h.Logger, "demotion of the primary", err)
		return
	}
	for limit := time.Now().Add(catchUpTimeout); time.Now().Before(limit); {
		standing, err := h.requestStatus(ctx, successor, status)
		if err == nil && standing.Received.Compare(after.Received) >= 0 {
			return
		}
		if clock.Pause(ctx, catchUpInterval) != nil {
			return
		}
	}
}

// orderPromotion orders the promotion; a lost answer is no answer, so that it is ordered again with the same token.
func (h *Host) orderPromotion(ctx context.Context, lead governor.Lead) (err error) {
	order := PromotionOrder{Database: lead.Database, Instance: lead.Instance, Token: lead.Token}
	for range orderAttempts {
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
