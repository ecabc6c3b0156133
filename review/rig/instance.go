package main

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// instance is one instance of a database.
type instance struct {
	id, zone string
	address  string // that its entry names
	own      string // that it listens at
	db       *database
	world    *world
	slots    chan struct{}
	maxConns int
	work     time.Duration
	distance time.Duration // one way, from the primary
	lag      time.Duration // from receiving to applying

	// Under the database's mutex.
	received, applied int
	term              int // newest term that it knows
	down, deaf        bool
	lose              float64 // share of the answers to statements that ran which are lost
	draining          bool
	sequence          int

	mutex   sync.Mutex
	conns   map[*conn]bool
	waiting int
}

const queueLimit = 16

// publish writes the instance's entry; the database's mutex must be held.
func (i *instance) publish() {
	i.sequence++
	role, state := "replica", "ready"
	if i.db.leader == i {
		role = "primary"
	}
	if i.draining {
		state = "draining"
	}
	i.world.store.set("servers", i.id, map[string]any{
		"Service": i.db.name, "Addr": i.address, "Zone": i.zone, "Version": "v1", "Slots": cap(i.slots), "State": state,
		word["cold"]: 0, "DbRole": role, "Seq": i.sequence, "born": i.world.started.UnixMilli(),
	})
}

// drain makes the instance report that it leaves.
func (i *instance) drain() {
	i.db.mutex.Lock()
	defer i.db.mutex.Unlock()
	i.draining = true
	i.publish()
	i.world.judge.record("%s: %s is draining", i.db.name, i.id)
}

// crash ends all connections and refuses new ones.
func (i *instance) crash() {
	i.db.mutex.Lock()
	i.down = true
	i.db.progress.Broadcast()
	i.world.judge.record("%s: %s crashes", i.db.name, i.id)
	i.db.mutex.Unlock()
	i.closeAll()
}

// closeAll closes all connections.
func (i *instance) closeAll() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for c := range i.conns {
		_ = c.Close()
	}
}

// revive brings a crashed instance back with its log, as a replica if another one leads.
func (i *instance) revive() {
	i.db.mutex.Lock()
	defer i.db.mutex.Unlock()
	i.down = false
	i.db.catchUp(i)
	i.publish()
	i.world.judge.record("%s: %s is back", i.db.name, i.id)
}

// replace ends the instance and starts a new one at its address, to which its log is transferred.
func (i *instance) replace() {
	i.crash()
	i.world.store.remove("servers", i.id)
	time.Sleep(time.Second)
	i.db.mutex.Lock()
	defer i.db.mutex.Unlock()
	i.id += "-new"
	i.down, i.draining, i.sequence = false, false, 0
	i.db.catchUp(i)
	i.publish()
	i.world.judge.record("%s: %s starts with the log of the instance before it", i.db.name, i.id)
}

// serve accepts connections.
func (i *instance) serve(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go i.session(c)
	}
}

// conn is a connection at an instance.
type conn struct {
	net.Conn
	instance  *instance
	out       strings.Builder
	values    map[string]string
	prepared  map[string]string // READ|WRITE shape
	inTx      bool
	readWrite bool
	failed    bool
	beginTerm int
	writes    []write
	tx        *clientTx // client transaction whose statements ran in the open transaction
	number    int64
}

// takeSlot waits for a slot; it returns false when too many wait.
func (i *instance) takeSlot() bool {
	i.mutex.Lock()
	if i.waiting >= queueLimit+cap(i.slots) {
		i.mutex.Unlock()
		return false
	}
	i.waiting++
	i.mutex.Unlock()
	i.slots <- struct{}{}
	return true
}

func (i *instance) freeSlot() {
	<-i.slots
	i.mutex.Lock()
	i.waiting--
	i.mutex.Unlock()
}

func (i *instance) session(nc net.Conn) {
	c := &conn{Conn: nc, instance: i, values: make(map[string]string), prepared: make(map[string]string), number: i.world.nextConn.Add(1)}
	defer nc.Close()
	i.db.mutex.Lock()
	down := i.down
	i.db.mutex.Unlock()
	if down {
		return
	}
	i.mutex.Lock()
	full := len(i.conns) >= i.maxConns
	if !full {
		i.conns[c] = true
	}
	i.mutex.Unlock()
	defer func() {
		i.mutex.Lock()
		delete(i.conns, c)
		i.mutex.Unlock()
	}()
	in := bufio.NewReaderSize(nc, 64<<10)
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(line)
	switch {
	case len(f) < 3 || f[0] != word["start"] || f[1] != i.db.name || (len(f) > 3 && f[3] != i.id):
		c.line("err", word["wrongInstance"], i.id)
		_ = c.flush()
		return
	case full:
		c.line("err", "TOOMANY", i.id)
		_ = c.flush()
		return
	}
	if i.takeSlot() {
		time.Sleep(12 * time.Millisecond)
		i.freeSlot()
	}
	c.ready()
	for c.flush() == nil {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		kind, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		id, text, _ := strings.Cut(rest, " ")
		if kind != word["query"] {
			return
		}
		c.execute(id, text)
		if id != "-" && i.loses() {
			if rand.IntN(2) == 0 {
				time.Sleep(4 * time.Second) // the connection delivers nothing further
			}
			return
		}
		c.ready()
	}
}

// loses reports whether the next answer is lost.
func (i *instance) loses() bool {
	i.db.mutex.Lock()
	defer i.db.mutex.Unlock()
	return rand.Float64() < i.lose
}

func (c *conn) line(kind string, fields ...string) {
	c.out.WriteString(word[kind])
	for _, f := range fields {
		c.out.WriteByte(' ')
		c.out.WriteString(f)
	}
	c.out.WriteString("\r\n")
}

func (c *conn) flush() error {
	if c.instance.isDown() {
		return net.ErrClosed
	}
	_, err := c.Write([]byte(c.out.String()))
	c.out.Reset()
	return err
}

func (i *instance) isDown() bool {
	i.db.mutex.Lock()
	defer i.db.mutex.Unlock()
	return i.down
}

// ready ends an answer with the state and the position of the instance's log.
func (c *conn) ready() {
	d := c.instance.db
	d.mutex.Lock()
	defer d.mutex.Unlock()
	state := "I"
	if c.failed {
		state = "E"
	} else if c.inTx {
		state = "T"
	}
	c.line("ready", state, d.position(c.instance.applied))
}

// lostLead reports whether the open plain transaction's instance has lost the lead; the database's mutex must be held.
func (c *conn) lostLead() bool {
	d := c.instance.db
	return c.inTx && c.readWrite && (d.leader != c.instance || d.term != c.beginTerm)
}

func (c *conn) endTx() { c.inTx, c.failed, c.writes, c.tx = false, false, nil, nil }

func (c *conn) execute(id, text string) {
	i := c.instance
	d := i.db
	verb, rest, _ := strings.Cut(text, " ")
	after := ""
	if verb == "AFTER" {
		after, text, _ = strings.Cut(rest, " ")
		verb, rest, _ = strings.Cut(text, " ")
	}
	if verb == word["rollback"] {
		c.endTx()
		c.line("done", "-")
		return
	}
	if c.failed {
		if verb == word["commit"] {
			c.endTx()
			c.line("err", "ABORTED", "the transaction had failed")
			return
		}
		c.line("err", "BAD", "the transaction has failed")
		return
	}
	// A plain transaction whose instance has lost the lead gets the same refusal for any statement but the commit of one that
	// wrote nothing.
	d.mutex.Lock()
	if c.lostLead() && !(verb == word["commit"] && len(c.writes) == 0) {
		d.mutex.Unlock()
		if verb == word["commit"] {
			c.endTx()
		} else {
			c.failed = true
		}
		c.line("err", word["notPrimary"], i.id)
		return
	}
	d.mutex.Unlock()
	switch verb {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
		c.line("done", "-")
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
		c.line("done", "-")
	case "FORGET":
		delete(c.prepared, rest)
		c.line("done", "-")
	case "RESET":
		clear(c.values)
		clear(c.prepared)
		c.line("done", "-")
	case word["begin"]:
		c.begin(rest != "READ", after)
	case word["commit"]:
		c.commit(id)
	case "READ", "WRITE", "EXEC":
		c.run(id, verb, rest, after)
	case "STATUS", "DEMOTE":
		c.status(verb, rest)
	default:
		c.line("err", "BAD", "unknown")
	}
}

func (c *conn) begin(readWrite bool, after string) {
	d := c.instance.db
	d.mutex.Lock()
	defer d.mutex.Unlock()
	switch {
	case c.inTx:
		c.failed = true
		c.line("err", "BAD", "a transaction is open")
	case readWrite && d.leader != c.instance:
		c.line("err", word["notPrimary"], c.instance.id)
	case after != "" && d.lacks(c.instance.applied, after):
		c.line("err", "BEHIND", c.instance.id)
	default:
		c.inTx, c.readWrite, c.beginTerm = true, readWrite, d.term
		c.line("done", "-")
	}
}

// run runs a read or a write.
func (c *conn) run(id, verb, rest, after string) {
	i, d := c.instance, c.instance.db
	shape := ""
	if verb == "EXEC" {
		name, arguments, _ := strings.Cut(rest, " ")
		found := false
		if shape, found = c.prepared[name]; !found {
			i.world.judge.unknownName(i, c, id, name)
			c.line("err", word["noStatement"], name)
			return
		}
		verb, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	if !i.takeSlot() {
		c.line("err", "BUSY", i.id)
		return
	}
	defer i.freeSlot()
	time.Sleep(i.work)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if c.lostLead() || (verb == "WRITE" && (d.leader != i || (c.inTx && !c.readWrite))) {
		c.failed = c.inTx
		c.line("err", word["notPrimary"], i.id)
		return
	}
	if after != "" && d.lacks(i.applied, after) {
		c.failed = c.inTx
		c.line("err", "BEHIND", i.id)
		return
	}
	a := i.world.judge.ran(i, c, id, verb, rest, shape, maps.Clone(c.values))
	if a != nil && c.inTx && c.tx == nil {
		c.tx = a.tx
	}
	item, data, _ := strings.Cut(rest, " ")
	if verb == "READ" {
		value := i.read(c, item)
		c.line("row", value)
		c.line("done", i.world.judge.sign(id, i, value))
		return
	}
	w := write{id, item, data}
	if c.inTx {
		c.writes = append(c.writes, w)
		c.line("done", i.world.judge.sign(id, i, ""))
		return
	}
	entry := &commit{writes: []write{w}, attempt: a}
	d.append(entry)
	if !d.awaitSync(i, entry) {
		_ = c.Close()
		return
	}
	c.line("done", i.world.judge.sign(id, i, ""))
}

// read returns an item's newest data in the part of the log that the instance has applied; the database's mutex must be held.
func (i *instance) read(c *conn, item string) string {
	for n := len(c.writes) - 1; n >= 0; n-- {
		if c.writes[n].item == item {
			return c.writes[n].data
		}
	}
	for n := i.applied; n > 0; n-- {
		for m := len(i.db.log[n-1].writes) - 1; m >= 0; m-- {
			if w := i.db.log[n-1].writes[m]; w.item == item {
				return w.data
			}
		}
	}
	return "none"
}

func (c *conn) commit(id string) {
	i, d := c.instance, c.instance.db
	if !c.inTx {
		c.line("err", "BAD", "no transaction")
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	a := i.world.judge.committed(i, c, id)
	writes := c.writes
	c.endTx()
	if len(writes) > 0 {
		entry := &commit{writes: writes, attempt: a}
		d.append(entry)
		if !d.awaitSync(i, entry) {
			_ = c.Close()
			return
		}
	}
	c.line("done", i.world.judge.sign(id, i, ""))
}

func (c *conn) status(verb, rest string) {
	i, d := c.instance, c.instance.db
	if verb == "STATUS" {
		if !i.takeSlot() {
			c.line("err", "BUSY", i.id)
			return
		}
		defer i.freeSlot()
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var term int
	if n, _ := fmt.Sscanf(rest, "%d", &term); verb == "DEMOTE" && n == 1 && term > d.term && d.leader == i {
		d.leader = nil
		i.publish()
		i.world.judge.record("%s: %s is demoted", d.name, i.id)
		d.progress.Broadcast()
	}
	role := "replica"
	if d.leader == i {
		role = "primary"
	}
	c.line("row", role, fmt.Sprint(d.term), d.position(i.received), "0", "0", "0", "1")
	c.line("done", "-")
}
