package dispatch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
)

// fakeInstance is a fake database instance with limited slots and connections, and a simulated service time.
type fakeInstance struct {
	endpoint.Instance
	openTime    time.Duration
	serviceTime func(work model.Work) time.Duration
	slots       int
	connections int

	mutex         sync.Mutex
	open          int
	maxOpen       int
	opened        int
	running       int
	forgottenUpTo int // highest connection number that the instance no longer knows
	slotRefusals  int // number of calls refused for lack of a free slot
	ranByKind     map[model.KindID]int
	order         []model.KindID
	fail          func(work model.Work) error
}

// fakeConn is a connection to a fakeInstance.
type fakeConn struct {
	instance         *fakeInstance
	id               int
	closed           bool
	answerPending    bool // whether an answer is outstanding
	usedWhilePending bool // whether a call was made while an answer was outstanding
}

// newFakeInstance returns a fake with the size of smallInstance.
func newFakeInstance() *fakeInstance {
	return &fakeInstance{
		openTime:    10 * time.Millisecond,
		serviceTime: func(model.Work) time.Duration { return 2 * time.Millisecond },
		slots:       2,
		connections: 15,
		ranByKind:   make(map[model.KindID]int),
		fail:        func(model.Work) error { return nil },
	}
}

func (f *fakeInstance) Open(ctx context.Context, _ model.HostID, _ model.DatabaseID, _ model.Term) (endpoint.Conn, model.InstanceState, error) {
	if err := sleep(ctx, f.openTime); err != nil {
		return nil, model.InstanceState{}, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.open >= f.connections {
		return nil, model.InstanceState{}, model.Refuse(model.CodeConnectionsFull, "%d open", f.open)
	}
	f.open++
	f.opened++
	f.maxOpen = max(f.maxOpen, f.open)
	return &fakeConn{instance: f, id: f.opened}, model.InstanceState{}, nil
}

func (c *fakeConn) ID() model.ConnectionID { return model.ConnectionID(fmt.Sprint(c.id)) }

func (c *fakeConn) Run(ctx context.Context, _ model.Term, work model.Work) (result model.Result, state model.InstanceState, err error) {
	f := c.instance
	if c.answerPending {
		c.usedWhilePending = true
	}
	if c.id <= f.newestForgotten() {
		return result, state, model.Refuse(model.CodeUnknownConnection, "connection %d", c.id)
	}
	if !f.takeSlot() {
		return result, state, model.Refuse(model.CodeSlotsFull, "all slots are used")
	}
	defer f.freeSlot()
	c.answerPending = true
	if err := sleep(ctx, f.serviceTime(work)); err != nil {
		return result, state, err
	}
	if err := f.fail(work); err != nil {
		return result, state, err
	}
	c.answerPending = false
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.ranByKind[work.Statement.Kind]++
	f.order = append(f.order, work.Statement.Kind)
	return model.Result{Request: work.Request, Succeeded: true}, state, nil
}

func (c *fakeConn) Begin(context.Context, model.Term) (model.InstanceState, error) {
	return model.InstanceState{}, nil
}

func (c *fakeConn) Commit(_ context.Context, _ model.Term, request model.RequestID) (model.Result, model.InstanceState, error) {
	return model.Result{Request: request, Succeeded: true}, model.InstanceState{}, nil
}

func (c *fakeConn) Rollback(context.Context) error { return nil }

func (c *fakeConn) Close(context.Context) error {
	c.instance.mutex.Lock()
	defer c.instance.mutex.Unlock()
	if !c.closed {
		c.closed = true
		c.instance.open--
	}
	return nil
}

// openedCount returns the number of connections opened so far.
func (f *fakeInstance) openedCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.opened
}

// newestForgotten returns the highest connection number that the instance no longer knows.
func (f *fakeInstance) newestForgotten() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.forgottenUpTo
}

// takeSlot takes a slot and reports whether one was free.
func (f *fakeInstance) takeSlot() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.running >= f.slots {
		f.slotRefusals++
		return false
	}
	f.running++
	return true
}

// freeSlot frees a slot.
func (f *fakeInstance) freeSlot() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.running--
}

// sleep waits for the duration, or returns the error of the context if that ends first.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
