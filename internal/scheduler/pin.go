package scheduler

import (
	"context"

	"redwingspread/internal/admit"
	"redwingspread/internal/model"
)

// pin reserves a connection for a transaction, and waits for one while transactions keep as many as its rank may have.
//
// It answers bursts in which transactions keep connections through the pauses of their callers: lone statements always
// have a connection left, and less urgent transactions leave some to more urgent ones.
func (l *Scheduler[C]) pin(ctx context.Context, turn *Permit[C]) *model.Refusal {
	if refusal := l.enqueuePin(turn); refusal != nil {
		return refusal
	}
	if refusal, told := l.awaitDecision(ctx, turn); told {
		return refusal
	}
	return l.cancelPinWait(turn)
}

// enqueuePin lets the turn wait for a connection to keep.
func (l *Scheduler[C]) enqueuePin(turn *Permit[C]) *model.Refusal {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.applySettings()
	rank := turn.ticket.Class.Rank
	waiting := &l.pinWaiters[rank.Index()]
	if l.stopping {
		return l.refusal(model.CodeStopping)
	}
	if waiting.Waiting(rank) >= l.QueueLimit {
		return l.refusal(model.CodeOverloaded)
	}
	turn.ticket.Reset()
	turn.waitingForPin = true
	waiting.Push(l.Now(), &turn.ticket)
	l.grantPins()
	return nil
}

// cancelPinWait ends a wait from the caller's side; a connection that was just reserved is given back.
func (l *Scheduler[C]) cancelPinWait(turn *Permit[C]) *model.Refusal {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if turn.waitingForPin {
		turn.waitingForPin = false
		l.pinWaiters[turn.ticket.Class.Rank.Index()].Remove(l.Now(), &turn.ticket)
		return l.refusal(model.CodeDeadline)
	}
	if refusal := <-turn.decision; refusal != nil {
		return refusal
	}
	l.pinned--
	l.grantPins()
	return l.refusal(model.CodeDeadline)
}

// unpin gives a reserved connection back that was not used.
func (l *Scheduler[C]) unpin(kept bool) {
	if !kept {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.pinned--
	l.grantPins()
}

// grantPins reserves connections for waiting transactions, the most urgent first.
func (l *Scheduler[C]) grantPins() {
	for rank := model.RankOne; rank <= model.RankThree; rank++ {
		for l.pinned < pinLimit(rank, l.Connections) {
			ticket := l.pinWaiters[rank.Index()].Pop(l.Now(), admit.EligibleAny)
			if ticket == nil {
				break
			}
			l.pinned++
			ticket.Value.waitingForPin = false
			ticket.Value.decision <- nil
		}
	}
}

// pinLimit returns how many connections transactions may keep, so that one more of the rank may begin.
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
