package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	applyLag     = 60 * time.Millisecond // of replicas, as in the sheet
	receiveLag   = 2 * time.Millisecond
	promoteTime  = 600 * time.Millisecond
	beatInterval = 1200 * time.Millisecond
	drainTime    = 7 * time.Second
	maxConns     = 16
)

// entry is one commit in the log of a database.
type entry struct {
	term int
	at   time.Time
	data []string
}

// database is one service: its instances and the log that its primary writes.
type database struct {
	world     *world
	name      string
	mutex     sync.Mutex
	log       []entry
	term      int
	primary   *instance // nil while none leads
	fence     uint64    // highest generation number seen
	instances map[string]*instance
}

// instance is one instance of a database.
type instance struct {
	db       *database
	id, zone string
	addr     string
	listener net.Listener
	born     int64
	seq      int
	state    string
	stopped  bool
	conns    map[net.Conn]bool
	beatNow  chan struct{}
	losing   bool // it loses answers of requests that it has run
	ran      int  // requests run since then
}

// position returns the log position of an instance: received and applied lengths differ by the lags; the lock is held.
func (i *instance) length(lag time.Duration) int {
	d := i.db
	if d.primary == i {
		return len(d.log)
	}
	now := time.Now()
	n := len(d.log)
	for n > 0 && now.Sub(d.log[n-1].at) < lag {
		n--
	}
	return n
}

func (d *database) position(n int) string {
	if n == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", d.log[n-1].term, n)
}

// promote makes an instance the primary of the next term.
func (d *database) promote(i *instance) {
	d.mutex.Lock()
	if d.primary == i || i.stopped {
		d.mutex.Unlock()
		return
	}
	d.log = d.log[:i.length(receiveLag)]
	d.primary = i
	d.term++
	d.mutex.Unlock()
	for _, other := range d.list() {
		other.beat()
	}
}

// list returns the running instances.
func (d *database) list() (running []*instance) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, i := range d.instances {
		if !i.stopped {
			running = append(running, i)
		}
	}
	return running
}

// leader returns the primary, or nil.
func (d *database) leader() *instance {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.primary
}

// start starts an instance: it listens and writes its entry.
func (d *database) start(zone string) *instance {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	i := &instance{
		db: d, id: d.world.newID(), zone: zone, addr: listener.Addr().String(), listener: listener, born: time.Now().UnixMilli(),
		state: "ready", conns: make(map[net.Conn]bool), beatNow: make(chan struct{}, 1),
	}
	d.mutex.Lock()
	d.instances[i.id] = i
	d.mutex.Unlock()
	go i.accept()
	go i.beats()
	return i
}

// beat makes the instance write its entry at once.
func (i *instance) beat() {
	select {
	case i.beatNow <- struct{}{}:
	default:
	}
}

// beats writes the entry of the instance every beatInterval, on a change, and as soon as the store is back.
func (i *instance) beats() {
	for {
		i.db.mutex.Lock()
		if i.stopped {
			i.db.mutex.Unlock()
			i.db.world.store.remove("servers", i.id)
			return
		}
		i.seq++
		role := "replica"
		if i.db.primary == i {
			role = "primary"
		}
		document := map[string]any{
			"Service": i.db.name, "Addr": i.addr, "Zone": i.zone, "Version": "v1", "Slots": 2, "State": i.state, words.Cold: 0,
			"DbRole": role, "Seq": i.seq, "born": i.born,
		}
		i.db.mutex.Unlock()
		wait := beatInterval
		if _, ok := i.db.world.store.set("servers", i.id, document); !ok {
			wait = 50 * time.Millisecond // away: tries again until it is back
		}
		select {
		case <-time.After(wait):
		case <-i.beatNow:
		}
	}
}

// drain announces that the instance leaves.
func (i *instance) drain() {
	i.db.mutex.Lock()
	i.state = "draining"
	i.db.mutex.Unlock()
	i.beat()
}

// stop ends the instance.
func (i *instance) stop() {
	i.db.mutex.Lock()
	i.stopped = true
	if i.db.primary == i {
		i.db.primary = nil
	}
	for c := range i.conns {
		_ = c.Close()
	}
	i.db.mutex.Unlock()
	_ = i.listener.Close()
	i.beat()
}

func (i *instance) accept() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		go i.serve(c)
	}
}

// sqlSession is the state of one connection.
type sqlSession struct {
	values   map[string]string
	prepared map[string]string // kind and shape by name
	state    string
	write    bool // a plain transaction
	term     int  // in which it began
	writes   []string
}

func (i *instance) serve(c net.Conn) {
	defer func() {
		i.db.mutex.Lock()
		delete(i.conns, c)
		i.db.mutex.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	d := i.db
	refused := ""
	d.mutex.Lock()
	switch {
	case len(fields) < 3 || fields[0] != words.Start:
		refused = "BAD"
	case fields[1] != d.name || (len(fields) > 3 && fields[3] != i.id):
		refused = words.WrongInstance
	case len(i.conns) >= maxConns:
		refused = "TOOMANY"
	}
	if refused == "" {
		i.conns[c] = true
	}
	ready := "READY I " + d.position(i.length(applyLag)) + "\r\n"
	d.mutex.Unlock()
	if refused != "" {
		_, _ = fmt.Fprintf(c, "ERR %s %s\r\n", refused, i.id)
		return
	}
	time.Sleep(12 * time.Millisecond) // of a new connection
	if _, err := c.Write([]byte(ready)); err != nil {
		return
	}
	s := &sqlSession{values: map[string]string{}, prepared: map[string]string{}, state: "I"}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		parts := strings.SplitN(strings.TrimRight(line, "\r\n"), " ", 3)
		if len(parts) < 3 || parts[0] != words.Query {
			return
		}
		answer := i.run(s, parts[1], parts[2])
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// run runs one query and returns the answer.
func (i *instance) run(s *sqlSession, id, text string) string {
	d := i.db
	after := ""
	if rest, found := strings.CutPrefix(text, "AFTER "); found {
		after, text, _ = strings.Cut(rest, " ")
	}
	word, rest, _ := strings.Cut(text, " ")
	if word == "READ" || word == "WRITE" || word == "EXEC" || word == "COMMIT" {
		time.Sleep(3 * time.Millisecond) // the work
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	rows, outcome := i.handle(s, id, word, rest, text, after)
	if i.losing && id != "-" && !strings.HasPrefix(outcome, "ERR") && d.world.loses(i, id, text) {
		return ""
	}
	return rows + outcome + "\r\nREADY " + s.state + " " + d.position(i.length(applyLag)) + "\r\n"
}

// lacks reports whether the log lacks a position.
func (i *instance) lacks(after string) bool {
	if after == "" {
		return false
	}
	_, number, _ := strings.Cut(after, ".")
	n, _ := strconv.Atoi(number)
	return i.length(applyLag) < n
}

func (s *sqlSession) end() { s.state, s.write, s.writes = "I", false, nil }

// handle runs one query with the lock held; it returns rows and the DONE or ERR line.
func (i *instance) handle(s *sqlSession, id, word, rest, text, after string) (rows, outcome string) {
	d := i.db
	refuse := func(code string) (string, string) {
		if s.state == "T" && (code == words.NotPrimary || code == "FAILED") {
			s.state = "E"
		}
		return "", "ERR " + code + " " + i.id
	}
	leads := d.primary == i
	lost := s.write && s.state == "T" && (!leads || s.term != d.term)
	if s.state == "E" && word != words.Rollback && word != "COMMIT" {
		return refuse("BAD")
	}
	switch word {
	case "STATUS", "DEMOTE", "HOLD", "RESUME":
		if word == "DEMOTE" {
			if term, err := strconv.Atoi(rest); err == nil && leads && term > d.term {
				d.primary, leads = nil, false
			}
		}
		role := "replica"
		if leads {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %s 0 0 0 %d\r\n", role, d.term, d.position(i.length(receiveLag)), len(i.conns)), "DONE -"
	case "RESET":
		s.values, s.prepared = map[string]string{}, map[string]string{}
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
	case "FORGET":
		delete(s.prepared, rest)
	case words.Begin:
		switch {
		case s.state != "I":
			return refuse("BAD")
		case rest == "" && !leads:
			return refuse(words.NotPrimary)
		case i.lacks(after):
			return refuse("BEHIND")
		}
		s.state, s.write, s.term = "T", rest == "", d.term
	case words.Rollback:
		if s.state == "I" {
			return refuse("BAD")
		}
		s.end()
	case "COMMIT":
		switch {
		case s.state == "I":
			return refuse("BAD")
		case s.state == "E":
			s.end()
			return "", "ERR ABORTED " + i.id
		case lost && len(s.writes) > 0:
			s.end()
			return "", "ERR " + words.NotPrimary + " " + i.id
		}
		if len(s.writes) > 0 {
			i.commit(id, s.writes)
		}
		s.end()
		return "", "DONE " + i.sign(id)
	case "READ", "WRITE", "EXEC":
		write := word == "WRITE"
		if word == "EXEC" {
			name, _, _ := strings.Cut(rest, " ")
			kind, found := s.prepared[name]
			if !found {
				return refuse(words.NoStatement)
			}
			write = strings.HasPrefix(kind, "WRITE")
		}
		switch {
		case lost, write && !leads:
			return refuse(words.NotPrimary)
		case i.lacks(after):
			return refuse("BEHIND")
		}
		d.world.noteRun(d.name, i, id, text)
		if write && s.state == "T" {
			s.writes = append(s.writes, id+" "+text)
		} else if write {
			i.commit(id, []string{id + " " + text})
		}
		if write {
			return "", "DONE " + i.sign(id)
		}
		return "ROW " + i.id + "\r\n", "DONE " + i.sign(id)
	default:
		return refuse("BAD")
	}
	return "", "DONE -"
}

func (i *instance) sign(id string) string { return i.id + "." + id }

// commit appends a commit to the log; the lock is held.
func (i *instance) commit(id string, writes []string) {
	d := i.db
	d.log = append(d.log, entry{term: d.term, at: time.Now(), data: writes})
	d.world.noteCommit(d.name, i, id, writes)
}
