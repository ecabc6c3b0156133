package dispatch

import (
	"context"

	"redwingspread/internal/admit"
	"redwingspread/internal/model"
)

// pin reserves a connection for a transaction; it waits while transactions pin as many connections as the rank allows.
func (d *Dispatcher) pin(ctx context.Context, class admit.Class) error {
	task, refusal := d.enqueuePin(class)
	if refusal != nil {
		return refusal
	}
	if task == nil {
		return nil
	}
	defer d.tasks.Put(task)
	select {
	case refusal = <-task.decision:
	case <-ctx.Done():
		refusal = d.cancelPinWait(task, waitEndCode(ctx))
	}
	if refusal != nil {
		return refusal
	}
	return nil
}

// enqueuePin reserves a connection and returns nil, or returns a queued task that waits for one.
func (d *Dispatcher) enqueuePin(class admit.Class) (*Task, *model.Refusal) {
	if !class.Rank.Valid() {
		return nil, model.Refuse(model.CodeInvalid, "unknown rank %d", class.Rank)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.applySettings()
	if d.stopping {
		return nil, d.refusal(model.CodeStopping)
	}
	waiting := &d.pinWaiters[class.Rank.Index()]
	if waiting.Waiting(class.Rank) >= d.QueueLimit {
		return nil, d.refusal(model.CodeOverloaded)
	}
	task := d.tasks.Get().(*Task)
	task.conn = nil
	task.waitingForPin = true
	task.ticket.Class = class
	task.ticket.Reset()
	waiting.Push(d.Now(), &task.ticket)
	d.grantPins()
	if task.waitingForPin {
		return task, nil
	}
	<-task.decision
	d.tasks.Put(task)
	return nil, nil
}

// cancelPinWait ends the wait for a pin with the code; a connection reserved meanwhile is unreserved.
func (d *Dispatcher) cancelPinWait(task *Task, code model.Code) *model.Refusal {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if task.waitingForPin {
		task.waitingForPin = false
		d.pinWaiters[task.ticket.Class.Rank.Index()].Remove(d.Now(), &task.ticket)
		return d.refusal(code)
	}
	if refusal := <-task.decision; refusal != nil {
		return refusal
	}
	d.unpinLocked()
	return d.refusal(code)
}

// grantPins reserves connections for waiting transactions, the most urgent first.
func (d *Dispatcher) grantPins() {
	for rank := model.RankOne; rank <= model.RankThree; rank++ {
		for d.pinned < pinLimit(rank, d.Connections) {
			ticket := d.pinWaiters[rank.Index()].Pop(d.Now(), admit.EligibleAny)
			if ticket == nil {
				break
			}
			d.pinned++
			ticket.Value.waitingForPin = false
			ticket.Value.decision <- nil
		}
	}
	d.updatePoolTarget()
}

// refusePins refuses all transactions that wait to pin a connection.
func (d *Dispatcher) refusePins(code model.Code) {
	for i := range d.pinWaiters {
		for {
			ticket := d.pinWaiters[i].Pop(d.Now(), admit.EligibleAny)
			if ticket == nil {
				break
			}
			ticket.Value.waitingForPin = false
			d.refuse(ticket, code)
		}
	}
}

// unpin releases the reservation of a connection.
func (d *Dispatcher) unpin() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.unpinLocked()
}

// unpinLocked releases the reservation of a connection; the caller holds the lock.
func (d *Dispatcher) unpinLocked() {
	d.pinned--
	d.grantPins()
	d.schedule()
	d.checkDrained()
}

// pinLimit returns the number of pinned connections below which a transaction of the rank may pin one more.
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
