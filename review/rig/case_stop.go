package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

// playStop stops and restarts each host in turn, as planned, under usual traffic without pipelining.
func playStop(w *world, trouble bool) error {
	for _, name := range []string{"ecore1", "ecore2"} {
		d, err := w.addDatabase(name, 0, 2, 16, 8*time.Millisecond, zoneNames...)
		if err != nil {
			return err
		}
		w.routes = append(w.routes,
			&route{host: "seat" + name, kind: "primary", db: d, timeoutMs: 800, goalMs: 400, priority: 0},
			&route{host: "roster" + name, kind: "bounded", db: d, staleness: 1500 * time.Millisecond, timeoutMs: 1200, goalMs: 600, priority: 1},
			&route{host: "batch" + name, kind: "read_your_writes", db: d, staleness: 2500 * time.Millisecond, timeoutMs: 800, goalMs: 1500, priority: 2})
	}
	if err := w.startHosts(); err != nil {
		return err
	}
	end := time.Now().Add(70 * time.Second)
	var group sync.WaitGroup
	var cut, ran, sent atomic.Int64
	for n := range 80 {
		group.Add(1)
		own := rand.New(rand.NewPCG(7, uint64(n+100)))
		go func() {
			defer group.Done()
			for k := 0; time.Now().Before(end); k++ {
				s, err := w.open(fmt.Sprintf("t%d.%d", n, k), w.hosts[own.IntN(len(w.hosts))].address, w.routes[n%len(w.routes)])
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for err == nil && time.Now().Before(end) {
					time.Sleep(time.Duration(own.IntN(60)) * time.Millisecond)
					text := fmt.Sprintf("READ item%d", own.IntN(9))
					if own.IntN(5) == 0 {
						text = fmt.Sprintf("WRITE item%d w%s", own.IntN(9), s.name)
					}
					at := time.Now()
					sent.Add(1)
					if _, err = s.data(text); err != nil {
						id := fmt.Sprintf("%s-%d", s.name, s.counter)
						w.judge.mutex.Lock()
						runs := w.judge.attempts[id].runs
						w.judge.mutex.Unlock()
						cut.Add(1)
						if runs > 0 || time.Since(at) > 200*time.Millisecond {
							ran.Add(1)
							w.judge.record("CUT %s after %d ms, runs %d: %v", id, time.Since(at).Milliseconds(), runs, err)
						}
					}
				}
				s.close()
			}
		}()
	}
	for trouble && time.Now().Before(end.Add(-10*time.Second)) {
		for _, h := range w.hosts {
			time.Sleep(500 * time.Millisecond)
			w.signal(h, syscall.SIGTERM)
			<-h.ended
			if err := w.start(h); err != nil {
				return err
			}
			time.Sleep(1500 * time.Millisecond)
		}
	}
	group.Wait()
	w.judge.record("%d sent, %d cut, %d of them run or late", sent.Load(), cut.Load(), ran.Load())
	return nil
}
