package front

import (
	"context"
	"time"

	"redwingspread/internal/controller"
	"redwingspread/internal/event"
	"redwingspread/internal/model"
)

const (
	probeTimeout = 250 * time.Millisecond // several round trips between regions
	storeTimeout = time.Second            // of one call; a slow store takes a few hundred milliseconds
)

// act carries out one action of control and returns the event that ends it.
func (h *Host) act(ctx context.Context, action controller.Action) controller.Event {
	switch action := action.(type) {
	case controller.SendHeartbeat:
		if err := h.mesh.Send(action.To, action.Heartbeat); err != nil {
			event.DependencyLost(h.Logger, "datagrams", err)
		}
	case controller.FetchDirectory:
		news, err := h.mesh.Fetch(ctx, action.Host, action.Address)
		if err != nil {
			event.DependencyLost(h.Logger, "directory of host "+string(action.Host), err)
		}
		return controller.DirectoryFetchDone{Host: action.Host, Update: news, Err: err}
	case controller.ProbeInstances:
		h.probeAll(ctx, action.Instances)
		return h.tick()
	case controller.ChangePrimary:
		return h.change(ctx, action)
	case controller.DeleteHostRow:
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if err := h.Platform.ForgetHost(limited, action.Host); err != nil {
			event.DependencyLost(h.Logger, "store: row of host "+string(action.Host), err)
		}
	}
	return controller.ActionDone{}
}

// probeAll has instances prove at once whether they lead.
func (h *Host) probeAll(ctx context.Context, ids []model.InstanceID) {
	ended := make(chan error, len(ids))
	version := h.view().Directory.Version
	for _, id := range ids {
		m := h.member(id)
		if m == nil {
			ended <- nil
			continue
		}
		go func() { ended <- m.probe(ctx, version) }()
	}
	for range ids {
		<-ended
	}
}

// probe has the instance begin a transaction, which only a primary does and which takes no slot.
//
// An idle connection that does not answer may have gone silent alone, so that a new one decides.
//
// An instance that has no room is not probed: that would take more of what others wait for.
func (m *member) probe(ctx context.Context, version model.Version) error {
	begun := time.Now()
	if m.crowded(begun) {
		return nil
	}
	err := m.with(ctx, func(l *link) error { return m.prove(version, l) })
	if err != nil && model.CodeOf(err) == "" && ctx.Err() == nil {
		m.failed(begun)
	}
	return err
}

// prove begins a transaction for the connection's next use, and notes what follows from the answer.
func (m *member) prove(version model.Version, l *link) error {
	answer, err := l.begin(m, nil, time.Now().Add(probeTimeout))
	if err != nil {
		return err
	}
	l.keep(version, answer.Done())
	return nil
}

// with runs a call on an idle connection of the instance, or on a new one that is closed afterwards.
func (m *member) with(ctx context.Context, call func(l *link) error) error {
	if l, found := m.lane.Borrow(); found {
		sound := l.Alive() && call(l) == nil
		m.lane.Return(l, sound)
		if sound {
			return nil
		}
	}
	l, err := m.open(ctx)
	if err != nil {
		return err
	}
	err = call(l)
	if closeErr := l.Close(); err == nil {
		err = closeErr
	}
	return err
}
