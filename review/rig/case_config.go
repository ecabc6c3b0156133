package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { cases["config"] = playConfig }

// playConfig changes the configuration twice; between the changes the store is silent for a second.
func playConfig(w *world, trouble bool) error {
	const (
		silence = time.Second
		stable  = 5 * time.Second // StableMs
		inForce = 3 * time.Second // ConfigApplyMs
	)
	d, err := w.addDatabase("ecore1", 0, 2, 16, 3*time.Millisecond, zoneNames...)
	if err != nil {
		return err
	}
	add := func(name string) *route {
		r := &route{host: name, kind: "primary", db: d, timeoutMs: 800, goalMs: 400, priority: 0}
		w.routes = append(w.routes, r)
		return r
	}
	urgent := add("seat1")
	if err := w.startHosts(); err != nil {
		return err
	}
	traffic := w.startTraffic(urgent, 100*time.Millisecond)
	defer traffic.stop()
	add("seat2")
	w.configure()
	time.Sleep(200 * time.Millisecond)
	if trouble {
		w.judge.record("the store is silent for %s", silence)
		w.store.setSilent(true)
	}
	time.Sleep(silence)
	w.store.setSilent(false)
	w.judge.record("the store answers")
	calm := time.Now().Add(stable)
	time.Sleep(2500 * time.Millisecond)
	added := add("seat3")
	w.configure()
	bound := time.Now().Add(inForce)
	time.Sleep(time.Until(later(bound, calm)) + 100*time.Millisecond)
	for n := 0; n < 80; n++ {
		for _, h := range w.hosts {
			s, err := w.open(fmt.Sprintf("p%d.%s", n, h.name), h.address, added)
			if errors.Is(err, errSessionRefused) && strings.Contains(err.Error(), "NODB") {
				w.judge.breaks("CONFIG", "%s refuses a session on route %s with %v, %d ms after the acknowledgement of the version with it", h.name, added.host, err, time.Since(bound.Add(-inForce)).Milliseconds())
			}
			if err == nil {
				s.close()
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
