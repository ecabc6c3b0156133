package dispatch

import (
	"context"
	"fmt"
	"sync"
	"time"

	"redwingspread/internal/endpoint"
	"redwingspread/internal/model"
)

// fakeInstance is a fake database instance with slots, connections and a service time on the test's clock.
type fakeInstance struct {
	endpoint.Instance
	openTime    time.Duration
	serviceTime func(work model.Work) time.Duration
	slots       int
	connections int

	mutex         sync.Mutex
	open          int
	mostOpen      int
	opened        int
	running       int
	forgottenUpTo int // connections up to this one are no longer known
	slotRefusals  int // calls that found no free slot
	ran           map[model.KindID]int
	order         []model.KindID
	fail          func(work model.Work) error
}

// fakeConn is one connection of the fake.
type fakeConn struct {
	instance *fakeInstance
	id       int
	closed   bool
	pending  bool // an answer is outstanding
	reused   bool // a call was made while an answer was outstanding
}

// newFakeInstance returns a fake with the sizes of the Authority.
func newFakeInstance() *fakeInstance {
	return &fakeInstance{
		openTime:    10 * time.Millisecond,
		serviceTime: func(model.Work) time.Duration { return 2 * time.Millisecond },
		slots:       2,
		connections: 15,
		ran:         make(map[model.KindID]int),
		fail:        func(model.Work) error { return nil },
	}
}

func (i *fakeInstance) Open(ctx context.Context, _ model.HostID, _ model.DatabaseID, _ model.Term) (endpoint.Conn, model.InstanceState, error) {
	if err := sleep(ctx, i.openTime); err != nil {
		return nil, model.InstanceState{}, err
	}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.open >= i.connections {
		return nil, model.InstanceState{}, model.Refuse(model.CodeConnectionsFull, "%d open", i.open)
	}
	i.open++
	i.opened++
	i.mostOpen = max(i.mostOpen, i.open)
	return &fakeConn{instance: i, id: i.opened}, model.InstanceState{}, nil
}

func (c *fakeConn) ID() model.ConnectionID { return model.ConnectionID(fmt.Sprint(c.id)) }

func (c *fakeConn) Run(ctx context.Context, _ model.Term, work model.Work) (result model.Result, state model.InstanceState, err error) {
	i := c.instance
	if c.pending {
		c.reused = true
	}
	if c.id <= i.newestForgotten() {
		return result, state, model.Refuse(model.CodeUnknownConnection, "connection %d", c.id)
	}
	if !i.takeSlot() {
		return result, state, model.Refuse(model.CodeSlotsFull, "all slots are used")
	}
	defer i.freeSlot()
	c.pending = true
	if err := sleep(ctx, i.serviceTime(work)); err != nil {
		return result, state, err
	}
	if err := i.fail(work); err != nil {
		return result, state, err
	}
	c.pending = false
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.ran[work.Statement.Kind]++
	i.order = append(i.order, work.Statement.Kind)
	return model.Result{Request: work.Request, Done: true}, state, nil
}

func (c *fakeConn) Begin(context.Context, model.Term) (model.InstanceState, error) {
	return model.InstanceState{}, nil
}

func (c *fakeConn) Commit(_ context.Context, _ model.Term, request model.RequestID) (model.Result, model.InstanceState, error) {
	return model.Result{Request: request, Done: true}, model.InstanceState{}, nil
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

// openedCount returns the number of connections that were opened.
func (i *fakeInstance) openedCount() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.opened
}

// newestForgotten returns the newest connection that is no longer known.
func (i *fakeInstance) newestForgotten() int {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.forgottenUpTo
}

// takeSlot takes a slot and reports false when there is none.
func (i *fakeInstance) takeSlot() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.running >= i.slots {
		i.slotRefusals++
		return false
	}
	i.running++
	return true
}

// freeSlot frees a slot.
func (i *fakeInstance) freeSlot() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.running--
}

// sleep lets time pass, or returns the context's error.
func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
