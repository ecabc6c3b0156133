package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["pipeline"] = playPipeline }

// playPipeline stops a host as planned while clients send their statements in batches, several requests at a time.
func playPipeline(w *world, trouble bool) error {
	d, err := w.addDatabase("ecore1", 0, 2, 16, 9*time.Millisecond, zoneNames...)
	if err != nil {
		return err
	}
	own := &route{host: "batch1", kind: "read_your_writes", db: d, staleness: 2500 * time.Millisecond, timeoutMs: 800, goalMs: 1500, priority: 2}
	w.routes = []*route{own}
	if err := w.startHosts(); err != nil {
		return err
	}
	end := time.Now().Add(12 * time.Second)
	var group sync.WaitGroup
	for n := range 24 { // six at each host
		group.Add(1)
		go func() {
			defer group.Done()
			for k := 0; time.Now().Before(end); k++ {
				s, err := w.open(fmt.Sprintf("c%d.%d", n, k), w.hosts[(n+k)%len(w.hosts)].address, own)
				for err == nil && time.Now().Before(end) {
					err = s.batch(30)
					time.Sleep(100 * time.Millisecond)
				}
				if s != nil {
					s.close()
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w.signal(w.hosts[0], syscall.SIGTERM)
		select {
		case <-w.hosts[0].ended:
		case <-time.After(6 * time.Second): // GraceS
			w.signal(w.hosts[0], syscall.SIGKILL)
			<-w.hosts[0].ended
		}
		if err := w.start(w.hosts[0]); err != nil {
			return err
		}
	}
	group.Wait()
	return nil
}

// lossSlack is the time after the last byte of a request within which a connection may end before the request was passed on.
const lossSlack = 200 * time.Millisecond

// batch sends reads at once and receives the answers in order. A request counts as lost when the connection ends without its
// answer later than lossSlack after it was sent and before its route's timeout, though the host has read it: it stood in the same
// packet as an answered one.
func (s *session) batch(count int) error {
	var out strings.Builder
	var attempts []*attempt
	for n := range count {
		a := s.attempt(fmt.Sprintf("READ item%d", n%5))
		s.world.judge.sends(a)
		attempts = append(attempts, a)
		fmt.Fprintf(&out, "%s %s READ item%d\r\n", word["query"], a.id, n%5)
	}
	if _, err := s.conn.Write([]byte(out.String())); err != nil {
		return err
	}
	sent := time.Now()
	for n, a := range attempts {
		r, err := s.receive()
		s.settle(a, r, err)
		if err != nil {
			// The rule excuses a request whose route's timeout was reached.
			if since := time.Since(sent); n > 0 && since > lossSlack && since < time.Duration(s.route.timeoutMs)*time.Millisecond {
				s.world.judge.breaks("LOST", "session %s: the connection ends without an answer to %s and %d more, %d ms after they were sent; %d requests of the same packet were answered",
					s.name, a.id, count-n-1, since.Milliseconds(), n)
			}
			return err
		}
	}
	return nil
}
