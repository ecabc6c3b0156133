package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// write is one write of a commit.
type write struct{ id, item, data string }

// commit is one entry of a database's log.
type commit struct {
	term, number int
	writes       []write
	attempt      *attempt
	ackedAt      time.Time // when the client got the success; zero before
	rolledBack   bool      // cut off by a promotion
}

// database is one replicated database. The instances share the entries of one log; each holds a prefix of it.
type database struct {
	name         string
	sync         int           // replicas that must have received a commit before it is acknowledged
	promoteDelay time.Duration // from the accepted order to the change of the primary
	judge        *judge

	mutex     sync.Mutex
	progress  *sync.Cond // signalled when a replica has received something
	log       []*commit
	term      int
	leader    *instance // nil while there is none
	instances []*instance
	token     int
	holder    string
}

func newDatabase(name string, syncReplicas int, j *judge) *database {
	d := &database{name: name, sync: syncReplicas, promoteDelay: 600 * time.Millisecond, judge: j, term: 1}
	d.progress = sync.NewCond(&d.mutex)
	return d
}

// append adds a commit at the leader and sends it to the replicas; the mutex must be held.
func (d *database) append(c *commit) {
	c.term, c.number = d.term, len(d.log)+1
	d.log = append(d.log, c)
	d.leader.received, d.leader.applied = len(d.log), len(d.log)
	for _, replica := range d.instances {
		if replica != d.leader {
			time.AfterFunc(replica.distance, func() { d.deliver(replica, c) })
		}
	}
}

// deliver makes a replica receive the log up to a commit, and apply it later.
func (d *database) deliver(replica *instance, c *commit) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if replica.deaf || replica.down || replica == d.leader || c.rolledBack || replica.received >= c.number {
		return
	}
	replica.received = c.number
	d.progress.Broadcast()
	time.AfterFunc(replica.lag, func() { d.apply(replica, c) })
}

// apply makes a replica apply the log up to a commit.
func (d *database) apply(replica *instance, c *commit) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !replica.down && !c.rolledBack && replica != d.leader {
		replica.applied = max(replica.applied, c.number)
	}
}

// awaitSync waits until enough replicas have received a commit; the mutex must be held. It returns false if the instance loses the
// lead or crashes first.
func (d *database) awaitSync(leader *instance, c *commit) bool {
	for d.sync > 0 {
		holders := 0
		for _, replica := range d.instances {
			if replica != leader && replica.received >= c.number {
				holders++
			}
		}
		if holders >= d.sync {
			return true
		}
		if leader.down || d.leader != leader || c.rolledBack {
			return false
		}
		d.progress.Wait()
	}
	return true
}

// setDeaf makes a replica receive nothing, or catch up again.
func (d *database) setDeaf(replica *instance, deaf bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	replica.deaf = deaf
	d.catchUp(replica)
}

// catchUp gives a replica what it has missed while the leader runs; the mutex must be held.
func (d *database) catchUp(replica *instance) {
	if !replica.deaf && !replica.down && replica != d.leader && d.leader != nil && !d.leader.down && len(d.log) > 0 {
		last := d.log[len(d.log)-1]
		time.AfterFunc(replica.distance, func() { d.deliver(replica, last) })
	}
}

// position formats a prefix of the log.
func (d *database) position(length int) string { return fmt.Sprintf("%d.%d", d.term, length) }

// lacks reports whether a prefix of the log lacks a position; the mutex must be held.
func (d *database) lacks(length int, position string) bool {
	var term, number int
	if n, _ := fmt.Sscanf(position, "%d.%d", &term, &number); n != 2 {
		return true
	}
	return term > d.term || number > length
}

// lead makes an instance the primary of the next term; the mutex must be held.
func (d *database) lead(next *instance) {
	length := next.received
	for _, lost := range d.log[length:] {
		lost.rolledBack = true
		if d.sync > 0 && !lost.ackedAt.IsZero() {
			d.judge.breaks("LOST", "%s: commit %d.%d of attempt %s was acknowledged %d ms ago and is not in the log of %s, which is promoted with %d entries",
				d.name, lost.term, lost.number, lost.attempt.id, time.Since(lost.ackedAt).Milliseconds(), next.id, length)
		}
	}
	d.log = d.log[:length]
	d.term++
	d.leader = next
	next.applied = length
	for _, other := range d.instances {
		other.received, other.applied = min(other.received, length), min(other.applied, length)
		other.term = d.term
	}
	d.judge.record("%s: %s leads term %d with %d entries", d.name, next.id, d.term, length)
	for _, other := range d.instances {
		d.catchUp(other)
		other.publish()
	}
	d.progress.Broadcast()
}

// promote handles an order; the answer is an HTTP status.
func (d *database) promote(id, holder string, token int) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var next *instance
	for _, one := range d.instances {
		if one.id == id && !one.down {
			next = one
		}
	}
	if token < d.token || next == nil {
		return http.StatusConflict
	}
	if token == d.token && holder != d.holder {
		d.judge.breaks("ONE", "%s: %s and %s promote with the generation number %d", d.name, d.holder, holder, token)
	}
	d.token, d.holder = token, holder
	d.judge.record("%s: %s orders the promotion of %s with generation number %d", d.name, holder, id, token)
	if next == d.leader {
		return http.StatusOK
	}
	time.AfterFunc(d.promoteDelay, func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		if d.token == token && d.leader != next && !next.down {
			d.lead(next)
		}
	})
	return http.StatusOK
}

// operator serves the promotion call.
type operator struct{ databases []*database }

func (o *operator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	raw := make(map[string]string)
	token, err := strconv.Atoi(r.Header.Get(word["token"]))
	if err != nil || json.NewDecoder(r.Body).Decode(&raw) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body.Service, body.ID = raw["Service"], raw["Id"]
	for _, d := range o.databases {
		if d.name == body.Service {
			w.WriteHeader(d.promote(body.ID, r.Header.Get(word["holder"]), token))
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}
