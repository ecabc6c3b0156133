package front

import (
	"context"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/governor"
	"redwingspread/internal/model"
)

const (
	probeTimeout = 250 * time.Millisecond // several round trips between regions
	storeTimeout = time.Second            // of one call; a slow store takes a few hundred milliseconds
)

// execute carries out one action of control and returns the event that ends it.
func (h *Host) execute(ctx context.Context, action governor.Action) governor.Event {
	switch action := action.(type) {
	case governor.Send:
		if err := h.mesh.SendHeartbeat(action.To, action.Beat); err != nil {
			event.DependencyLost(h.Logger, "datagrams", err)
		}
	case governor.Fetch:
		news, err := h.mesh.Fetch(ctx, action.Host, action.Address)
		if err != nil {
			event.DependencyLost(h.Logger, "directory of host "+string(action.Host), err)
		}
		return governor.Fetched{Host: action.Host, News: news, Err: err}
	case governor.Probe:
		h.probeAll(ctx, action.Instances)
		return h.newTick()
	case governor.Change:
		return h.replacePrimary(ctx, action)
	case governor.Forget:
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if err := h.Platform.DeleteHost(limited, action.Host); err != nil {
			event.DependencyLost(h.Logger, "store: row of host "+string(action.Host), err)
		}
	}
	return governor.Acted{}
}

// probeAll has instances prove at once whether they lead.
func (h *Host) probeAll(ctx context.Context, ids []model.InstanceID) {
	ended := make(chan error, len(ids))
	version := h.view().Directory.Version
	for _, id := range ids {
		m := h.backend(id)
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
func (m *backend) probe(ctx context.Context, version model.Version) error {
	begun := time.Now()
	if m.skipsProbe(begun) {
		return nil
	}
	err := m.withConn(ctx, func(l *pooledConn) error { return m.beginAhead(version, l) })
	if err != nil && model.CodeOf(err) == "" && ctx.Err() == nil {
		m.noteFailure(begun)
	}
	return err
}

// beginAhead begins a transaction for the connection's next use, and notes what follows from the answer.
func (m *backend) beginAhead(version model.Version, l *pooledConn) error {
	answer, err := l.begin(m, nil, time.Now().Add(probeTimeout))
	if err != nil {
		return err
	}
	l.setBegun(version, answer.Succeeded())
	return nil
}

// withConn runs a call on an idle connection of the instance, or on a new one that is closed afterwards.
func (m *backend) withConn(ctx context.Context, call func(l *pooledConn) error) error {
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
