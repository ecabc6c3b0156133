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
func (l *Lane[C]) pin(ctx context.Context, turn *Turn[C]) *model.Refusal {
	if refusal := l.offerPin(turn); refusal != nil {
		return refusal
	}
	if refusal, told := l.await(ctx, turn); told {
		return refusal
	}
	return l.withdrawPin(turn)
}

// offerPin lets the turn wait for a connection to keep.
func (l *Lane[C]) offerPin(turn *Turn[C]) *model.Refusal {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.begin()
	rank := turn.ticket.Class.Rank
	waiting := &l.pins[rank.Index()]
	if l.stopping {
		return l.refusal(model.CodeStopping)
	}
	if waiting.Waiting(rank) >= l.QueueLimit {
		return l.refusal(model.CodeOverloaded)
	}
	turn.ticket.Reset()
	turn.pinning = true
	waiting.Push(l.Now(), &turn.ticket)
	l.grantPins()
	return nil
}

// withdrawPin ends a wait from the caller's side; a connection that was just reserved is given back.
func (l *Lane[C]) withdrawPin(turn *Turn[C]) *model.Refusal {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if turn.pinning {
		turn.pinning = false
		l.pins[turn.ticket.Class.Rank.Index()].Remove(l.Now(), &turn.ticket)
		return l.refusal(model.CodeDeadline)
	}
	if refusal := <-turn.ready; refusal != nil {
		return refusal
	}
	l.held--
	l.grantPins()
	return l.refusal(model.CodeDeadline)
}

// unpin gives a reserved connection back that was not used.
func (l *Lane[C]) unpin(kept bool) {
	if !kept {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.held--
	l.grantPins()
}

// grantPins reserves connections for waiting transactions, the most urgent first.
func (l *Lane[C]) grantPins() {
	for rank := model.RankOne; rank <= model.RankThree; rank++ {
		for l.held < pinLimit(rank, l.Connections) {
			ticket := l.pins[rank.Index()].Pop(l.Now(), admit.RoomAny)
			if ticket == nil {
				break
			}
			l.held++
			ticket.Value.pinning = false
			ticket.Value.ready <- nil
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
