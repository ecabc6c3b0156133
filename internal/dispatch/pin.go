package dispatch

import (
	"context"

	"redwingspread/internal/admit"
	"redwingspread/internal/model"
)

// pin reserves a connection for a transaction, and waits for one while transactions hold as many as its rank may have.
func (d *Dispatcher) pin(ctx context.Context, class admit.Class) error {
	turn, refusal := d.offerPin(class)
	if refusal != nil {
		return refusal
	}
	if turn == nil {
		return nil
	}
	defer d.turns.Put(turn)
	select {
	case refusal = <-turn.ready:
	case <-ctx.Done():
		refusal = d.withdrawPin(turn, cause(ctx))
	}
	if refusal != nil {
		return refusal
	}
	return nil
}

// offerPin reserves a connection and returns nil, or returns a turn that waits for one.
func (d *Dispatcher) offerPin(class admit.Class) (*Turn, *model.Refusal) {
	if !class.Rank.Valid() {
		return nil, model.Refuse(model.CodeInvalid, "unknown rank %d", class.Rank)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.begin()
	if d.stopping {
		return nil, d.refusal(model.CodeStopping)
	}
	waiting := &d.pins[class.Rank.Index()]
	if waiting.Waiting(class.Rank) >= d.QueueLimit {
		return nil, d.refusal(model.CodeOverloaded)
	}
	turn := d.turns.Get().(*Turn)
	turn.conn = nil
	turn.pinning = true
	turn.ticket.Class = class
	turn.ticket.Reset()
	waiting.Push(d.Now(), &turn.ticket)
	d.grantPins()
	if turn.pinning {
		return turn, nil
	}
	<-turn.ready
	d.turns.Put(turn)
	return nil, nil
}

// withdrawPin ends a wait from the caller's side with the code; a connection that was just reserved is given back.
func (d *Dispatcher) withdrawPin(turn *Turn, code model.Code) *model.Refusal {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if turn.pinning {
		turn.pinning = false
		d.pins[turn.ticket.Class.Rank.Index()].Remove(d.Now(), &turn.ticket)
		return d.refusal(code)
	}
	if refusal := <-turn.ready; refusal != nil {
		return refusal
	}
	d.unpinLocked()
	return d.refusal(code)
}

// grantPins reserves connections for waiting transactions, the most urgent first.
func (d *Dispatcher) grantPins() {
	for rank := model.RankOne; rank <= model.RankThree; rank++ {
		for d.pinned < pinLimit(rank, d.Connections) {
			ticket := d.pins[rank.Index()].Pop(d.Now(), admit.RoomAny)
			if ticket == nil {
				break
			}
			d.pinned++
			ticket.Value.pinning = false
			ticket.Value.ready <- nil
		}
	}
	d.fill()
}

// refusePins refuses all transactions that wait for a connection.
func (d *Dispatcher) refusePins(code model.Code) {
	for i := range d.pins {
		for {
			ticket := d.pins[i].Pop(d.Now(), admit.RoomAny)
			if ticket == nil {
				break
			}
			ticket.Value.pinning = false
			d.refuse(ticket, code)
		}
	}
}

// unpin gives a reserved connection back.
func (d *Dispatcher) unpin() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.unpinLocked()
}

// unpinLocked gives a reserved connection back; the caller holds the lock.
func (d *Dispatcher) unpinLocked() {
	d.pinned--
	d.grantPins()
	d.schedule()
	d.checkIdle()
}

// pinLimit returns how many connections transactions may hold for one more of the rank to begin.
func pinLimit(rank model.Rank, connections model.Connections) model.Connections {
	switch rank {
	case model.RankOne:
		return connections - 1
	case model.RankTwo:
		return connections * 3 / 4
	default:
		return connections / 2
	}
}
