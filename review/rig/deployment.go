package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// The places of a small deployment.
const zones = "coastal-a=coastal,brazos-a=brazos,hill-a=hill-country"

// zoneNames are the zones in the order in which databases place their instances.
var zoneNames = []string{"coastal-a", "brazos-a", "hill-a"}

// startHosts starts two hosts in the first zone and one in each other, and waits until they are ready.
func (w *world) startHosts() error {
	if err := w.serveOperator(); err != nil {
		return err
	}
	w.configure()
	w.publishAll()
	for n, zone := range []string{"coastal-a", "coastal-a", "brazos-a", "hill-a"} {
		if _, err := w.addHost(fmt.Sprintf("front-%s-%d", zone, n), zone, zones); err != nil {
			return err
		}
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // the hosts get to know the primaries
	return nil
}

// background is the usual traffic: sessions whose statements go on until the context ends.
type background struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
}

// startTraffic opens a session of the route at each host, which writes and reads with a pause, and opens it again when it ends.
func (w *world) startTraffic(r *route, pause time.Duration) *background {
	ctx, cancel := context.WithCancel(context.Background())
	b := &background{cancel: cancel}
	for _, h := range w.hosts {
		b.group.Add(1)
		go func() {
			defer b.group.Done()
			for n := 0; ctx.Err() == nil; n++ {
				s, err := w.open(fmt.Sprintf("b%d.%s.%s", n, h.name, r.host), h.address, r)
				if err != nil {
					time.Sleep(200 * time.Millisecond)
					continue
				}
				for k := 0; ctx.Err() == nil; k++ {
					text := fmt.Sprintf("WRITE item%d d%d", k%7, k)
					if k%2 == 1 {
						text = fmt.Sprintf("READ item%d", k%7)
					}
					if _, err = s.data(text); err != nil {
						break
					}
					time.Sleep(pause)
				}
				s.close()
			}
		}()
	}
	return b
}

// stop ends the traffic.
func (b *background) stop() {
	b.cancel()
	b.group.Wait()
}
