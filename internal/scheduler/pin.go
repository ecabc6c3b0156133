package scheduler

import (
	"context"

	"redwingspread/internal/admit"
	"redwingspread/internal/model"
)

// pin reserves a connection for a transaction; it waits while transactions pin as many connections as the rank allows.
//
// The limits guard against bursts of transactions that keep connections while their callers pause: of several connections,
// one stays free for single statements, and less urgent transactions leave some to more urgent ones.
func (s *Scheduler[C]) pin(ctx context.Context, permit *Permit[C]) *model.Refusal {
	if refusal := s.enqueuePin(permit); refusal != nil {
		return refusal
	}
	if refusal, decided := s.awaitDecision(ctx, permit); decided {
		return refusal
	}
	return s.cancelPinWait(permit)
}

// enqueuePin queues the permit for a connection to pin.
func (s *Scheduler[C]) enqueuePin(permit *Permit[C]) *model.Refusal {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applySettings()
	rank := permit.ticket.Class.Rank
	waiting := &s.pinWaiters[rank.Index()]
	if s.stopping {
		return s.refusal(model.CodeStopping)
	}
	if waiting.Waiting(rank) >= s.QueueLimit {
		return s.refusal(model.CodeOverloaded)
	}
	permit.ticket.Reset()
	permit.waitingForPin = true
	waiting.Push(s.Now(), &permit.ticket)
	s.grantPins()
	return nil
}

// cancelPinWait ends the wait for a pin after a timeout or cancellation; a connection reserved meanwhile is unreserved.
func (s *Scheduler[C]) cancelPinWait(permit *Permit[C]) *model.Refusal {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if permit.waitingForPin {
		permit.waitingForPin = false
		s.pinWaiters[permit.ticket.Class.Rank.Index()].Remove(s.Now(), &permit.ticket)
		return s.refusal(model.CodeDeadline)
	}
	if refusal := <-permit.decision; refusal != nil {
		return refusal
	}
	s.pinned--
	s.grantPins()
	return s.refusal(model.CodeDeadline)
}

// unpin drops the reservation of a connection that was not used, if there is one.
func (s *Scheduler[C]) unpin(reserved bool) {
	if !reserved {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pinned--
	s.grantPins()
}

// grantPins reserves connections for waiting transactions, the most urgent first.
func (s *Scheduler[C]) grantPins() {
	for rank := model.RankOne; rank <= model.RankThree; rank++ {
		for s.pinned < pinLimit(rank, s.Connections) {
			ticket := s.pinWaiters[rank.Index()].Pop(s.Now(), admit.EligibleAny)
			if ticket == nil {
				break
			}
			s.pinned++
			ticket.Value.waitingForPin = false
			ticket.Value.decision <- nil
		}
	}
}

// pinLimit returns the number of pinned connections below which a transaction of the rank may pin one more.
func pinLimit(rank model.Rank, connections model.Connections) model.Connections {
	switch rank {
	case model.RankOne:
		return max(connections-1, 1)
	case model.RankTwo:
		return max(connections*3/4, 1)
	default:
		return max(connections*5/8, 1)
	}
}
