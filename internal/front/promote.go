package front

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"redwingspread/internal/clock"
	"redwingspread/internal/controller"
	"redwingspread/internal/event"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

const (
	replaceTimeout  = 5 * time.Second        // from reading the promotion row to the accepted order, without the wait for other hosts
	minorityWait    = 7 * time.Second        // longest wait for hosts that learn of the change from the store only
	statusTimeout   = 300 * time.Millisecond // per status request to an instance
	catchUpTimeout  = 500 * time.Millisecond // for the chosen replica to receive the rest of a demoted primary's log, and then for any replica
	catchUpInterval = 15 * time.Millisecond  // between two status requests to that replica
	claimAttempts   = 3                      // writes of the promotion row, each checked by reading it
	orderAttempts   = 4                      // per promotion, all with the same token, which makes repeating safe
	orderTimeout    = 400 * time.Millisecond // per order
	farBehind       = time.Second            // a replica that lacks more than the commits of this time is far behind
)

// Reasons why the primary is not replaced.
var (
	errPrimaryChanged = errors.New("another host has replaced the primary")
	errNoReplica      = errors.New("no replica responds")
	errPrimaryBack    = errors.New("the primary responds again")
	errMayLose        = errors.New("a replica that may be the only one to hold acknowledged commits does not respond")
	errNotDemoted     = errors.New("the primary was not demoted and may acknowledge more commits")
)

// replacePrimary promotes another instance to primary and returns the promotion row as it stands afterwards.
func (h *Host) replacePrimary(ctx context.Context, c controller.ChangePrimary) (result controller.PrimaryChangeDone) {
	result = controller.PrimaryChangeDone{Database: c.Database}
	callCtx, cancel := context.WithTimeout(ctx, replaceTimeout+c.Release+minorityWait)
	defer cancel()
	defer func() {
		if result.Err != nil {
			result.Err = fmt.Errorf("replace the primary of %s: %w", c.Database, result.Err)
		}
	}()
	row, err := h.readPromotion(callCtx, c.Database)
	if err != nil {
		result.Err = err
		return result
	}
	result.Promotion = &row
	if row.Token > c.Promotion.Token {
		result.Err = errPrimaryChanged
		return result
	}
	best, err := h.chooseSuccessor(callCtx, c)
	if err != nil {
		result.Err = err
		return result
	}
	result.Instance = best.Instance
	claimed, err := h.claimPromotion(callCtx, row, c.Promotion.Token, best.Instance)
	if err != nil {
		result.Err = err
		return result
	}
	result.Promotion = &claimed
	demoted := false
	if c.Demote {
		if claimed, best, demoted, err = h.demoteAndCatchUp(callCtx, c, claimed, best); err != nil {
			result.Err = err
			return result
		}
		result.Promotion, result.Instance = &claimed, best.Instance
	}
	if c.Release > 0 {
		if claimed, best, err = h.releasePrimary(callCtx, c, claimed, best, demoted); err != nil {
			result.Err = err
			return result
		}
		result.Promotion, result.Instance = &claimed, best.Instance
	}
	event.PromotionOrdered(h.Logger, c.Database, best.Instance, claimed.Token, formatPoint(best.Received), c.Reason)
	h.counters.Promotions.Add(1)
	result.Err = h.orderPromotion(callCtx, claimed)
	return result
}

// formatPoint formats a point for the log.
func formatPoint(p model.Point) string { return fmt.Sprintf("%d.%d", p.Term, p.Position) }

// readPromotion reads the newest promotion row.
func (h *Host) readPromotion(ctx context.Context, database model.DatabaseID) (controller.Promotion, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return h.Platform.ReadPromotion(callCtx, database)
}

// claimPromotion writes the row with a token after the row's and the newest known one, which only one host can obtain; if a response is
// lost, reading the row shows the result.
//
// The claim counts only if the row was read before and after the write in one era of the store: what was written in an earlier one may
// be gone, and another host may have the token.
func (h *Host) claimPromotion(ctx context.Context, row controller.Promotion, newest model.Token, instance model.InstanceID) (controller.Promotion, error) {
	claimed := row
	claimed.Instance = instance
	claimed.Token = max(row.Token, newest).Next(row.Position.Era)
	claimed.Holder = h.self.ID
	claimed.Nonce = model.Nonce(rand.Text())
	var err error
	for range claimAttempts {
		err = h.writePromotion(ctx, claimed)
		if ctx.Err() != nil {
			return claimed, ctx.Err()
		}
		current, readErr := h.readPromotion(ctx, row.Database)
		switch {
		case readErr != nil:
			err = errors.Join(err, readErr)
		case current.Position.Era != row.Position.Era:
			return current, ErrStoreRestored
		case current.Nonce == claimed.Nonce:
			return current, nil
		case errors.Is(err, ErrConflict) || current.Token >= claimed.Token:
			return current, errPrimaryChanged
		}
	}
	if err == nil {
		err = errPrimaryChanged // the write was answered, but the row is another one's
	}
	return claimed, err
}

// writePromotion writes the promotion row.
func (h *Host) writePromotion(ctx context.Context, promotion controller.Promotion) error {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return h.Platform.WritePromotion(callCtx, promotion)
}

// chooseSuccessor requests the status of the replicas and returns the one to promote.
//
// While all of them are far behind the primary, it waits for the primary or a better replica to come back. Where acknowledged
// commits must not be lost, it waits for each replica in the directory, and gives up after a while so that the primary's state is
// assessed anew.
func (h *Host) chooseSuccessor(ctx context.Context, c controller.ChangePrimary) (failover.Candidate, error) {
	started := time.Now()
	for {
		survey := h.replicaStatuses(ctx, c)
		best, found := failover.Successor(survey.Candidates)
		mayLose := c.Sync && !survey.HoldsAcknowledged()
		mayWait := time.Since(c.Since) < failover.DefaultTiming().ReturnGrace && !c.Demote
		if found && !mayLose && (!mayWait || !h.isFarBehind(c.Database, best.Received)) {
			h.logSurvey(c.Database, best.Instance, survey)
			return best, nil
		}
		if mayLose {
			mayWait = time.Since(started) < failover.DefaultTiming().ReturnGrace
		}
		switch {
		case mayWait:
		case found && mayLose:
			h.logSurvey(c.Database, "", survey)
			return best, errMayLose
		default:
			return best, errNoReplica
		}
		if b := h.backend(c.Primary.ID); b != nil && b.probe(ctx, h.view().Directory.Version) == nil && b.isPrimary() {
			return best, errPrimaryBack
		}
		if err := clock.Pause(ctx, catchUpInterval*10); err != nil {
			return best, err
		}
	}
}

// isFarBehind reports whether a point is far behind the newest point that the primary proved.
func (h *Host) isFarBehind(database model.DatabaseID, point model.Point) bool {
	rs := h.replicaSet(database)
	if rs == nil {
		return false
	}
	rs.mutex.Lock()
	defer rs.mutex.Unlock()
	return rs.history.LagOf(point) > farBehind
}

// replicaStatuses requests the status of all replicas concurrently.
func (h *Host) replicaStatuses(ctx context.Context, c controller.ChangePrimary) (survey failover.Survey) {
	statuses := make(chan failover.Candidate, len(c.Replicas))
	failed := make(chan model.InstanceID, len(c.Replicas))
	directory := h.view().Directory
	for _, replica := range c.Replicas {
		go func() {
			status, err := h.requestStatus(ctx, replica.ID, statement.Command{Statement: statement.Statement{Verb: statement.Status}})
			if err != nil {
				event.DependencyLost(h.Logger, "status of "+string(replica.ID), err)
				failed <- replica.ID
				return
			}
			former := c.Demoted && replica.ID == c.Primary.ID
			if replica.ID == c.Primary.ID && status.Role != model.RoleReplica {
				failed <- replica.ID
				return
			}
			statuses <- failover.Candidate{
				Instance:       replica.ID,
				Received:       status.Received,
				Ordered:        replica.ID == c.Promotion.Instance,
				SameDataCentre: replica.DataCentre == c.Primary.DataCentre,
				Leaving:        replica.Leaving || directory.Missing[replica.ID],
				Former:         former,
			}
		}()
	}
	for range c.Replicas {
		select {
		case candidate := <-statuses:
			survey.Candidates = append(survey.Candidates, candidate)
		case id := <-failed:
			if id == c.Primary.ID {
				continue // what it acknowledged, replicas hold
			}
			survey.Unheard = append(survey.Unheard, id)
		}
	}
	return survey
}

// logSurvey logs what each replica had received, and the successor.
func (h *Host) logSurvey(database model.DatabaseID, chosen model.InstanceID, survey failover.Survey) {
	var received, unheard []string
	for _, candidate := range survey.Candidates {
		text := string(candidate.Instance) + " " + formatPoint(candidate.Received)
		if candidate.Leaving {
			text += " leaving"
		}
		received = append(received, text)
	}
	for _, id := range survey.Unheard {
		unheard = append(unheard, string(id))
	}
	slices.Sort(received)
	slices.Sort(unheard)
	event.ReplicasCompared(h.Logger, database, chosen, strings.Join(received, ", "), strings.Join(unheard, ", "))
}

// requestStatus sends a status or demote command and returns the instance status.
func (h *Host) requestStatus(ctx context.Context, id model.InstanceID, command statement.Command) (status statement.InstanceStatus, err error) {
	b := h.backend(id)
	if b == nil {
		return status, errNoReplica
	}
	callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	err = b.withConn(callCtx, func(conn *pooledConn) error {
		if err = conn.rollbackBegun(time.Now().Add(statusTimeout)); err != nil {
			return err
		}
		status, err = conn.RequestStatus(command, time.Now().Add(statusTimeout))
		return err
	})
	return status, err
}

// demoteAndCatchUp demotes the primary, so that it acknowledges no more commits, and waits until a replica has received its whole
// log; the promotion then names that replica, or the primary itself if none has received it in time.
//
// If the primary can't be reached, the replacement goes ahead, since the promotion itself then stops the primary or the hosts stop
// using it; not so where no acknowledged commit may be lost. It reports whether the primary was demoted.
func (h *Host) demoteAndCatchUp(ctx context.Context, c controller.ChangePrimary, claimed controller.Promotion, best failover.Candidate) (controller.Promotion, failover.Candidate, bool, error) {
	last, err := h.demotePrimary(ctx, c)
	switch {
	case err != nil && c.Sync:
		return claimed, best, false, errors.Join(errNotDemoted, err)
	case err != nil:
		event.DependencyLost(h.Logger, "primary demotion", err)
		return claimed, best, false, nil
	}
	if h.catchesUp(ctx, best.Instance, last) {
		return claimed, best, true, nil
	}
	c.Replicas, c.Demoted = append(slices.Clone(c.Replicas), c.Primary), true
	newest, survey := best, failover.Survey{}
	for limit := time.Now().Add(catchUpTimeout); newest.Received.Compare(last) < 0; {
		survey = h.replicaStatuses(ctx, c)
		if candidate, found := failover.Successor(survey.Candidates); found {
			newest = candidate
		}
		if time.Now().After(limit) || clock.Pause(ctx, catchUpInterval) != nil {
			break
		}
	}
	h.logSurvey(c.Database, newest.Instance, survey)
	switch {
	case c.Sync && newest.Received.Compare(last) < 0:
		return claimed, best, true, errMayLose
	case newest.Instance == best.Instance:
		return claimed, best, true, nil
	}
	next, err := h.claimPromotion(ctx, claimed, claimed.Token, newest.Instance)
	if err != nil {
		return claimed, best, true, err
	}
	return next, newest, true, nil
}

// catchesUp waits until a replica has received the log up to a point, and reports whether it has in time.
func (h *Host) catchesUp(ctx context.Context, replica model.InstanceID, last model.Point) bool {
	for limit := time.Now().Add(catchUpTimeout); time.Now().Before(limit); {
		status, err := h.requestStatus(ctx, replica, statement.Command{Statement: statement.Statement{Verb: statement.Status}})
		if err == nil && status.Received.Compare(last) >= 0 {
			return true
		}
		if clock.Pause(ctx, catchUpInterval) != nil {
			return false
		}
	}
	return false
}

// demotePrimary demotes the primary and returns the end of its log.
func (h *Host) demotePrimary(ctx context.Context, c controller.ChangePrimary) (model.Point, error) {
	before, err := h.requestStatus(ctx, c.Primary.ID, statement.Command{Statement: statement.Statement{Verb: statement.Status}})
	if err != nil {
		return model.Point{}, err
	}
	after, err := h.requestStatus(ctx, c.Primary.ID, statement.Command{Term: before.Term + 1, Statement: statement.Statement{Verb: statement.Demote}})
	return after.Received, err
}

// readHosts reads the hosts' rows, or returns none.
func (h *Host) readHosts(ctx context.Context) []controller.Host {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, _, err := h.Platform.Hosts(callCtx, model.StorePosition{}, 0)
	if err != nil {
		event.DependencyLost(h.Logger, "store: hosts", err)
		return nil
	}
	return rows.MembershipUpdate.Hosts
}

// releasePrimary waits until no host uses the replaced primary any more, and returns the promotion to order: where a replica
// has received more meanwhile, that one is promoted under the next token.
//
// A demoted primary acknowledges nothing, so that nobody has to stop using it.
func (h *Host) releasePrimary(ctx context.Context, c controller.ChangePrimary, claimed controller.Promotion, best failover.Candidate, demoted bool) (controller.Promotion, failover.Candidate, error) {
	if err := h.Loop.Send(ctx, controller.PromotionClaimed{Promotion: claimed, Hosts: h.readHosts(ctx)}); err != nil {
		return claimed, best, err
	}
	if demoted {
		return claimed, best, nil
	}
	started := time.Now()
	for {
		changed := h.Loop.Changed()
		if h.primary(c.Database).Cleared >= claimed.Token {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return claimed, best, ctx.Err()
		}
	}
	event.PromotionCleared(h.Logger, c.Database, claimed.Token, model.Millis(time.Since(started)))
	row, err := h.readPromotion(ctx, c.Database)
	if err != nil {
		return claimed, best, err
	}
	if row.Nonce != claimed.Nonce {
		return claimed, best, errPrimaryChanged
	}
	survey := h.replicaStatuses(ctx, c)
	if c.Sync && !survey.HoldsAcknowledged() {
		return row, best, errMayLose
	}
	newest, found := failover.Successor(survey.Candidates)
	if !found || newest.Instance == best.Instance || newest.Received.Compare(best.Received) <= 0 {
		return row, best, nil
	}
	next, err := h.claimPromotion(ctx, row, row.Token, newest.Instance)
	if err != nil {
		return row, best, err
	}
	return next, newest, h.Loop.Send(ctx, controller.PromotionClaimed{Promotion: next})
}

// orderPromotion orders the promotion; without a response it repeats the order with the same token.
func (h *Host) orderPromotion(ctx context.Context, promotion controller.Promotion) (err error) {
	order := PromotionOrder{Database: promotion.Database, Instance: promotion.Instance, Token: promotion.Token}
	for range orderAttempts {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err = h.Platform.Promote(callCtx, h.self.ID, order)
		cancel()
		var refusal *model.Refusal
		if err == nil || errors.As(err, &refusal) || ctx.Err() != nil {
			return err
		}
	}
	return err
}
