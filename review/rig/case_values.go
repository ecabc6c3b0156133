package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["values"] = playValues }

// playValues lets clients set a value and prepare a name between the statements of a transaction, while the primary is dark for
// 2.5 s and another instance is promoted, and then go on with their sessions. A third client has the value
// that the first one sets.
func playValues(w *world, trouble bool) error {
	d, err := w.addDatabase("ecore1", 0, 2, 16, 3*time.Millisecond, zoneNames...)
	if err != nil {
		return err
	}
	p, err := w.addProxy(d.instances[0])
	if err != nil {
		return err
	}
	urgent := &route{host: "seat1", kind: "primary", db: d, timeoutMs: 800, goalMs: 400, priority: 0}
	own := &route{host: "batch1", kind: "read_your_writes", db: d, staleness: 2500 * time.Millisecond, timeoutMs: 800, goalMs: 1500, priority: 2}
	w.routes = []*route{urgent, own}
	if err := w.startHosts(); err != nil {
		return err
	}
	traffic := w.startTraffic(urgent, 60*time.Millisecond)
	defer traffic.stop()
	time.Sleep(time.Second)
	other, err := w.open("c2", w.hosts[0].address, own)
	if err != nil {
		return err
	}
	defer other.close()
	if _, err := other.set("tenant", "south0"); err != nil {
		return err
	}
	const clients = 2 // the first sets a value, the second prepares a name
	var group sync.WaitGroup
	ready, resume := make(chan error, clients), make(chan struct{})
	for n := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			s, err := w.open(fmt.Sprintf("c%d", n), w.hosts[n].address, own) // both hosts in the zone of the primary
			if err != nil {
				ready <- err
				return
			}
			defer s.close()
			s.visit(n, ready, resume, other)
		}()
	}
	for range clients {
		if err := <-ready; err != nil {
			return err
		}
	}
	if trouble {
		w.judge.record("%s goes dark", d.instances[0].id)
		p.stop()
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		p.resume()
		w.judge.record("%s can be reached again", d.instances[0].id)
	}
	close(resume)
	group.Wait()
	return nil
}

// visit is what a client does: a transaction with a pause between its statements, then reads in and outside transactions. After the
// first client's transaction another session at the host, which has the same value, reads first.
func (s *session) visit(n int, ready chan<- error, resume <-chan struct{}, other *session) {
	_, err := s.set("tenant", fmt.Sprintf("north%d", n))
	if err == nil {
		_, err = s.begin(false)
	}
	if err == nil {
		_, err = s.data("READ item1")
	}
	ready <- err
	<-resume
	if s.state != "T" {
		return
	}
	if n == 0 {
		_, err = s.set("tenant", fmt.Sprintf("south%d", n))
		if err == nil {
			_, err = s.data("READ item2")
		}
	} else {
		_, err = s.prepare("s1", "READ q1")
		if err == nil {
			_, err = s.data("EXEC s1 item2")
		}
	}
	if err != nil {
		return
	}
	if s.state == "T" {
		_, err = s.data("COMMIT")
	} else {
		_, err = s.rollback()
	}
	for k := 0; n == 0 && k < 5 && err == nil; k++ {
		_, err = other.data(fmt.Sprintf("READ item%d", k))
	}
	for k := 0; k < 10 && err == nil; k++ {
		if n == 0 {
			_, err = s.data(fmt.Sprintf("READ item%d", k%7))
		} else if _, err = s.begin(true); err == nil {
			if _, err = s.data(fmt.Sprintf("EXEC s1 item%d", k%7)); err == nil {
				_, err = s.data("COMMIT")
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}
