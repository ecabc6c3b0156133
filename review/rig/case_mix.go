package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["mix"] = playMix }

// playMix lets clients use all statements while random disruptions come and go. MIX_SEED draws them; MIX_SECONDS is the length,
// MIX_SYNC the number of SyncReplicas and MIX_CONNS the connection limit of an instance.
func playMix(w *world, trouble bool) error {
	seed, _ := strconv.ParseUint(os.Getenv("MIX_SEED"), 10, 64)
	seconds, _ := strconv.Atoi(os.Getenv("MIX_SECONDS"))
	syncReplicas, _ := strconv.Atoi(os.Getenv("MIX_SYNC"))
	maxConns, _ := strconv.Atoi(os.Getenv("MIX_CONNS"))
	if seconds == 0 {
		seconds = 60
	}
	if maxConns == 0 {
		maxConns = 16
	}
	random := rand.New(rand.NewPCG(seed, 1))
	proxies := make(map[*instance]*proxy)
	for _, name := range []string{"ecore1", "ecore2"} {
		d, err := w.addDatabase(name, syncReplicas, 2, maxConns, 4*time.Millisecond, zoneNames...)
		if err != nil {
			return err
		}
		for _, i := range d.instances {
			if proxies[i], err = w.addProxy(i); err != nil {
				return err
			}
		}
		w.routes = append(w.routes,
			&route{host: "seat" + name, kind: "primary", db: d, timeoutMs: 800, goalMs: 400, priority: 0},
			&route{host: "roster" + name, kind: "bounded", db: d, staleness: 1500 * time.Millisecond, timeoutMs: 1200, goalMs: 600, priority: 1},
			&route{host: "batch" + name, kind: "read_your_writes", db: d, staleness: 2500 * time.Millisecond, timeoutMs: 800, goalMs: 1500, priority: 2})
	}
	if err := w.startHosts(); err != nil {
		return err
	}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	var group sync.WaitGroup
	for n := range 36 {
		group.Add(1)
		own := rand.New(rand.NewPCG(seed, uint64(n+100)))
		go func() {
			defer group.Done()
			for k := 0; time.Now().Before(end); k++ {
				s, err := w.open(fmt.Sprintf("m%d.%d", n, k), w.hosts[own.IntN(len(w.hosts))].address, w.routes[n%len(w.routes)])
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				s.wander(own, time.Now().Add(time.Duration(2+own.IntN(15))*time.Second), end)
				s.close()
			}
		}()
	}
	for trouble && time.Now().Before(end.Add(-8*time.Second)) {
		time.Sleep(time.Duration(300+random.IntN(2500)) * time.Millisecond)
		d := w.databases[random.IntN(len(w.databases))]
		i := d.instances[random.IntN(len(d.instances))]
		h := w.hosts[random.IntN(len(w.hosts))]
		span := time.Duration(300+random.IntN(3500)) * time.Millisecond
		switch random.IntN(10) {
		case 0, 1:
			w.judge.record("%s is dark for %s", i.id, span)
			p := proxies[i]
			p.stop()
			time.AfterFunc(span, p.resume)
		case 2:
			i.crash()
			time.AfterFunc(span, i.revive)
		case 3:
			w.judge.record("%s receives nothing for %s", i.id, span)
			d.setDeaf(i, true)
			time.AfterFunc(span, func() { d.setDeaf(i, false) })
		case 4:
			w.signal(h, syscall.SIGSTOP)
			stopped := h
			time.AfterFunc(span, func() { w.signal(stopped, syscall.SIGCONT) })
		case 5:
			w.signal(h, syscall.SIGKILL)
			<-h.ended
			time.Sleep(200 * time.Millisecond)
			if err := w.start(h); err != nil {
				return err
			}
		case 6:
			w.signal(h, syscall.SIGTERM)
			<-h.ended
			if err := w.start(h); err != nil {
				return err
			}
		case 7:
			w.judge.record("the store is down for %s", span)
			w.store.setDown(true)
			time.AfterFunc(span, func() { w.store.setDown(false) })
		case 9:
			w.judge.record("%s loses answers for %s", i.id, span)
			lose := func(share float64) {
				d.mutex.Lock()
				defer d.mutex.Unlock()
				i.lose = share
			}
			lose(0.2)
			time.AfterFunc(span, func() { lose(0) })
		case 8:
			d.mutex.Lock()
			leader := d.leader
			d.mutex.Unlock()
			if leader != nil && !leader.draining {
				leader.drain()
				time.AfterFunc(8*time.Second, func() {
					d.mutex.Lock()
					leader.draining = false
					leader.publish()
					d.mutex.Unlock()
				})
			}
		}
	}
	group.Wait()
	return nil
}

// wander makes random requests until the limit.
func (s *session) wander(random *rand.Rand, limit, end time.Time) {
	names := 0
	var err error
	for err == nil && time.Now().Before(limit) && time.Now().Before(end) {
		time.Sleep(time.Duration(random.IntN(120)) * time.Millisecond)
		if s.state == "T" && random.IntN(3) == 0 {
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		}
		item := fmt.Sprintf("item%d", random.IntN(6))
		if s.state == "E" {
			_, err = s.rollback()
			continue
		}
		switch random.IntN(12) {
		case 0:
			_, err = s.set("tenant", fmt.Sprintf("t%d", random.IntN(3)))
		case 1:
			_, err = s.set("zone", fmt.Sprintf("z%d", random.IntN(2)))
		case 2:
			kind := "READ"
			if random.IntN(3) == 0 {
				kind = "WRITE"
			}
			_, err = s.prepare(fmt.Sprintf("s%d", random.IntN(3)), fmt.Sprintf("%s q%d", kind, random.IntN(30)))
			names++
		case 3:
			name := fmt.Sprintf("s%d", random.IntN(3))
			if _, err = s.control("FORGET " + name); err == nil {
				delete(s.prepared, name)
			}
		case 4, 5:
			for name, shape := range s.prepared {
				text := "EXEC " + name + " " + item
				if shape[0] == 'W' {
					text += " x" + s.name
				}
				_, err = s.data(text)
				break
			}
		case 6, 7:
			if s.state == "I" {
				_, err = s.begin(random.IntN(3) == 0)
			} else if random.IntN(5) == 0 {
				_, err = s.rollback()
			} else {
				_, err = s.data(word["commit"])
			}
		case 8:
			_, err = s.data("WRITE " + item + " w" + s.name)
		default:
			_, err = s.data("READ " + item)
		}
	}
}
