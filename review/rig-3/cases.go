package main

import (
	"encoding/hex"
	"fmt"
	"strings"
	"sync"
	"time"
)

var zones = []string{"coastal-a", "brazos-a", "hill-a"}

// begin starts three services of three instances, four hosts, and traffic.
func (w *world) begin() bool {
	routes := []route{}
	for n, name := range []string{"huvo11a", "kafi81c", "wuno96b"} {
		w.addDatabase(name, []string{zones[n], zones[(n+1)%3], zones[(n+2)%3]})
		routes = append(routes, route{host: "lepu270" + name[:2], kind: "primary", service: name, timeout: 800, goal: 400, prio: 0})
		routes = append(routes, route{host: "fiti832" + name[:2], kind: "read_your_writes", service: name, timeout: 800, goal: 1500, prio: 2, stale: 2500})
	}
	w.routes = routes
	w.configure(routes)
	time.Sleep(500 * time.Millisecond)
	for n, name := range []string{"front-coastal-a-1", "front-coastal-a-2", "front-brazos-a-1", "front-hill-a-1"} {
		w.addHost(name, []string{"coastal-a", "coastal-a", "brazos-a", "hill-a"}[n])
	}
	return w.awaitReady(10 * time.Second)
}

// traffic sends writes and reads on a route through every host until stop is closed, and counts the outcomes.
func (w *world) traffic(name string, stop <-chan struct{}) {
	for n, h := range w.hosts {
		go func() {
			var c *client
			for count := 0; ; count++ {
				select {
				case <-stop:
					if c != nil {
						c.close()
					}
					return
				case <-time.After(200 * time.Millisecond):
				}
				if c == nil {
					c, _, _ = dial(h.session, name)
				}
				if c == nil {
					continue
				}
				id := fmt.Sprintf("%s%04x%08x", hex.EncodeToString([]byte(name[len(name)-2:])), n, count)
				text := "READ a1"
				if count%3 == 0 {
					text = "WRITE a1 " + id
				}
				r, err := c.query(id, text, 3*time.Second)
				ran, _ := w.ranAt(id)
				w.logf("client: %s, route %s: QUERY %s %s: %s%s %s %v; run by %s of %s", h.name, name, id, text, r.done, r.code, r.text, err, ran.instance, ran.service)
				if err != nil {
					c.close()
					c = nil
				}
			}
		}()
	}
}

// release replaces the primary of a service as planned: a new instance starts, then the old primary drains; it ends after the drain time.
func (w *world) release(d *database) {
	old := d.leader()
	if old == nil {
		return
	}
	d.start(old.zone)
	w.logf("release: %s of %s drains", old.id, d.name)
	old.drain()
	go func() {
		time.Sleep(drainTime + time.Second)
		for d.leader() == old {
			time.Sleep(100 * time.Millisecond)
		}
		old.stop()
		w.logf("release: %s of %s has ended", old.id, d.name)
	}()
}

// awaitOrders waits until a service has had a number of accepted promotions and a primary again.
func (w *world) awaitOrders(d *database, count int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		found := 0
		for _, o := range w.accepted() {
			if o.service == d.name {
				found++
			}
		}
		if leader := d.leader(); found >= count && leader != nil && leader.state == "ready" {
			return true
		}
	}
	return false
}

// tokenCase checks rule ONE: two holders promote with the same generation number.
//
// The primaries of three services are released, before and after a drill in which the store comes back from an older copy. The host that
// promoted first is being restarted as planned the second time, so that another one acts for its service.
func tokenCase(w *world) outcome {
	if !w.begin() {
		return impossible
	}
	stop := make(chan struct{})
	defer close(stop)
	for name := range w.databases {
		w.traffic("lepu270"+name[:2], stop)
	}
	time.Sleep(4 * time.Second)
	copied := w.store.copy()
	w.logf("store: a copy is taken at version %d", copied.version)
	time.Sleep(300 * time.Millisecond)
	for _, d := range w.databases {
		w.release(d)
	}
	for _, d := range w.databases {
		if !w.awaitOrders(d, 1, 15*time.Second) {
			return impossible
		}
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		w.drill(copied, time.Second)
	}
	time.Sleep(12 * time.Second) // the drill is over, the old primaries have ended, and machines are in touch again
	first := w.accepted()[0]
	var restarted sync.WaitGroup
	for _, h := range w.hosts {
		if h.name == first.holder {
			restarted.Add(1)
			go func() {
				defer restarted.Done()
				w.restartPlanned(h, 500*time.Millisecond)
			}()
		}
	}
	time.Sleep(time.Second)
	for _, d := range w.databases {
		w.release(d)
	}
	for _, d := range w.databases {
		if !w.awaitOrders(d, 2, 20*time.Second) {
			w.logf("%s has not been promoted a second time", d.name)
		}
	}
	time.Sleep(2 * time.Second)
	restarted.Wait()
	result := held
	seen := map[string]order{}
	for _, o := range w.accepted() {
		key := fmt.Sprintf("%s/%d", o.service, o.token)
		if before, found := seen[key]; found && before.holder != o.holder {
			w.logf("BROKEN ONE: %s promoted %s of %s with token %d, and %s promoted %s with it", before.holder, before.id, o.service, o.token, o.holder, o.id)
			result = broken
		}
		if _, found := seen[key]; !found {
			seen[key] = o
		}
	}
	return result
}

// drill makes the store go away for a moment and come back from a copy. The operator writes the newest configuration again; the instances
// write their entries again by themselves as soon as the store accepts them.
func (w *world) drill(copied copyOf, away time.Duration) {
	w.logf("drill: the store goes away")
	w.store.leave()
	time.Sleep(away)
	before := w.store.version
	w.store.restore(copied)
	w.logf("drill: the store is back from a copy that is %.1f s old; its version went back from %d to %d", time.Since(copied.at).Seconds(), before, copied.version)
	w.writeConfig()
}

// configCase checks rule CONFIG: a request is run by the old service later than ConfigApplyMs after the ack of a version.
//
// A route moves to another service just after a drill in which the store comes back from an older copy.
func configCase(w *world) outcome {
	if !w.begin() {
		return impossible
	}
	stop := make(chan struct{})
	defer close(stop)
	for name := range w.databases {
		w.traffic("fiti832"+name[:2], stop)
	}
	time.Sleep(4 * time.Second)
	copied := w.store.copy()
	w.logf("store: a copy is taken at version %d", copied.version)
	time.Sleep(500 * time.Millisecond)
	routes := append([]route{}, w.routes...)
	for n := range routes {
		routes[n].timeout += 50
	}
	w.configure(routes)
	time.Sleep(1900 * time.Millisecond)
	if w.trouble {
		w.drill(copied, time.Second)
	}
	moved := -1
	for n, r := range routes {
		if r.kind == "primary" && r.service == "huvo11a" {
			routes[n].service, moved = "kafi81c", n
		}
	}
	name := routes[moved].host
	acked := w.configure(routes)
	w.logf("operator: route %s has moved from huvo11a to kafi81c", name)
	time.Sleep(time.Until(acked.Add(stableTime + configApply + time.Second)))
	result := held
	old := map[string]int{}
	for count := range 20 {
		for n, h := range w.hosts {
			c, refused, err := dial(h.session, name)
			if c == nil {
				w.logf("client: START at %s: %s %v", h.name, refused, err)
				continue
			}
			id := fmt.Sprintf("c0f1%04x%08x", n, count)
			sent := time.Since(acked)
			r, err := c.query(id, "WRITE a2 "+id, 3*time.Second)
			ran, found := w.ranAt(id)
			w.logf("client: %.1f s after the ack, %s WRITE at %s: %s%s %v; run by %s of %s", sent.Seconds(), id, h.name, r.done, r.code, err, ran.instance, ran.service)
			if found && ran.service != "kafi81c" {
				old[h.name]++
				result = broken
			}
			c.close()
		}
		time.Sleep(400 * time.Millisecond)
	}
	for host, count := range old {
		w.logf("BROKEN CONFIG: %s sent %d of 20 writes of route %s to the old service", host, count, name)
	}
	return result
}

// emptyCase checks rule CONFIG in a fleet in which some hosts learn of changes from others: a request is run with a dropped route.
//
// The operator takes all routes out of the configuration. Without the disruption one route stays.
func emptyCase(w *world) outcome {
	routes := []route{}
	for n, name := range []string{"huvo11a", "kafi81c", "wuno96b"} {
		w.addDatabase(name, []string{zones[n], zones[(n+1)%3], zones[(n+2)%3]})
		routes = append(routes, route{host: "lepu270" + name[:2], kind: "primary", service: name, timeout: 800, goal: 400, prio: 0})
	}
	w.routes = routes
	w.configure(routes)
	time.Sleep(500 * time.Millisecond)
	for n := range 18 {
		zone := zones[n%3]
		w.addHost(fmt.Sprintf("front-%s-%d", zone, n/3+1), zone)
	}
	if !w.awaitReady(20 * time.Second) {
		return impossible
	}
	stop := make(chan struct{})
	defer close(stop)
	w.traffic(routes[2].host, stop)
	time.Sleep(stableTime + 5*time.Second)
	left := []route{}
	if !w.trouble {
		left = routes[2:]
	}
	acked := w.configure(left)
	w.logf("operator: routes %s and %s are dropped; %d routes are left", routes[0].host, routes[1].host, len(left))
	time.Sleep(time.Until(acked.Add(configApply + 2*time.Second)))
	result := held
	wrong := map[string]int{}
	for count := range 15 {
		for n, h := range w.hosts {
			id := fmt.Sprintf("c0f2%04x%08x", n, count)
			sent := time.Since(acked)
			c, refused, err := dial(h.session, routes[0].host)
			if c == nil {
				w.logf("client: %.1f s after the ack, START %s at %s: %s %v", sent.Seconds(), routes[0].host, h.name, refused, err)
				continue
			}
			r, err := c.query(id, "WRITE a2 "+id, 3*time.Second)
			ran, found := w.ranAt(id)
			w.logf("client: %.1f s after the ack, %s WRITE on %s at %s: %s%s %v; run by %s of %s", sent.Seconds(), id, routes[0].host, h.name, r.done, r.code, err, ran.instance, ran.service)
			if found {
				wrong[h.name]++
				result = broken
			}
			c.close()
		}
		time.Sleep(500 * time.Millisecond)
	}
	for host, count := range wrong {
		w.logf("BROKEN CONFIG: %s ran %d of 15 writes with the dropped route %s", host, count, routes[0].host)
	}
	return result
}

// signatureCase checks rule MIXED: a client gets a success without the instance's signature for it, or with other rows.
//
// For 5.5 s the primary of each service loses the answers of a share of 0.025 of the requests that it has run.
func signatureCase(w *world) outcome {
	if !w.begin() {
		return impossible
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mutex sync.Mutex
	result, broke := held, map[string]int{}
	for n, h := range w.hosts {
		for m, r := range w.routes {
			group.Add(1)
			go func() {
				defer group.Done()
				w.checkSignatures(h, r.host, fmt.Sprintf("%02x%02x", n, m), stop, func(verb string) {
					mutex.Lock()
					defer mutex.Unlock()
					result = broken
					broke[verb]++
				})
			}()
		}
	}
	time.Sleep(3 * time.Second)
	w.loseAnswers(w.trouble)
	time.Sleep(5500 * time.Millisecond)
	w.loseAnswers(false)
	time.Sleep(3 * time.Second)
	close(stop)
	group.Wait()
	for verb, count := range broke {
		w.logf("BROKEN MIXED: %d times a client got a success for %s without the instance's signature or rows", count, verb)
	}
	return result
}

// loseAnswers makes the primaries lose answers, or all instances lose none.
func (w *world) loseAnswers(losing bool) {
	for _, d := range w.databases {
		leader := d.leader()
		d.mutex.Lock()
		for _, i := range d.instances {
			i.losing = losing && i == leader
		}
		d.mutex.Unlock()
	}
	w.logf("answers of primaries are lost: %v", losing)
}

// checkSignatures reads, writes and commits on a route and reports each success that lacks the signature or the row of its instance. It
// waits for each answer before the next request.
func (w *world) checkSignatures(h *host, name, prefix string, stop <-chan struct{}, report func(verb string)) {
	var c *client
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	steps := []string{"READ a1", "WRITE a1 x", words.Begin, "WRITE a1 x", "COMMIT"}
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if c == nil {
			if c, _, _ = dial(h.session, name); c == nil {
				continue
			}
			count = (count/len(steps) + 1) * len(steps)
		}
		text := steps[count%len(steps)]
		id := fmt.Sprintf("5160%s%08x", prefix, count)
		r, err := c.query(id, text, 3*time.Second)
		w.logf("client: %s, route %s: QUERY %s %s: rows %q, done %q, error %q %q, state %s, %v", h.name, name, id, text, r.rows, r.done, r.code, r.text, r.state, err)
		if err != nil || r.code != "" {
			c.close()
			c = nil
			continue
		}
		verb, _, _ := strings.Cut(text, " ")
		if verb != words.Begin && !strings.HasSuffix(r.done, "."+id) || verb == "READ" && len(r.rows) != 1 {
			w.logf("BROKEN MIXED: %s got a success for %s with done %q and rows %q", id, text, r.done, r.rows)
			report(verb)
		}
	}
}
