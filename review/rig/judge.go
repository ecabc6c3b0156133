package main

import (
	"fmt"
	"maps"
	"os"
	"sync"
	"time"
)

// judge records what clients and instances see and reports broken rules.
type judge struct {
	mutex    sync.Mutex
	file     *os.File
	started  time.Time
	attempts map[string]*attempt // by the id of their statement
	signed   map[string]string   // row by signature
	broken   map[string]int      // by rule
	signs    int
	quiet    bool // only broken rules and events are written, no statements
}

// attempt is one statement of a client.
type attempt struct {
	id, text  string // the text without its verb, for an execution without the name
	verb      string // READ, WRITE or COMMIT
	shape     string // of an execution
	session   string
	values    map[string]string // acknowledged to the client
	tx        *clientTx         // nil outside transactions
	sent      time.Time
	db        *database
	staleness time.Duration // age of commits that a read may lack
	own       []*commit     // commits of the session that a read has to see
	runs      int
	promised  string // code of a promise that nothing is kept
}

// clientTx is a transaction as its client sees it.
type clientTx struct {
	conn     int64 // connection of its first statement at an instance
	began    time.Time
	promised string // code of a promise that nothing is kept
}

func newJudge(path string) (*judge, error) {
	file, err := os.Create(path)
	return &judge{file: file, started: time.Now(), attempts: make(map[string]*attempt), signed: make(map[string]string), broken: make(map[string]int)}, err
}

// record writes a line.
func (j *judge) record(format string, arguments ...any) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.write(format, arguments...)
}

func (j *judge) write(format string, arguments ...any) {
	fmt.Fprintf(j.file, "%9.3f  %s\n", time.Since(j.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// statement writes a line about a statement, unless only events are recorded.
func (j *judge) statement(format string, arguments ...any) {
	if !j.quiet {
		j.write(format, arguments...)
	}
}

// breaks records a broken rule.
func (j *judge) breaks(rule, format string, arguments ...any) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.broke(rule, format, arguments...)
}

func (j *judge) broke(rule, format string, arguments ...any) {
	j.broken[rule]++
	if j.broken[rule] <= 20 {
		j.write("BROKEN %s: %s", rule, fmt.Sprintf(format, arguments...))
	}
}

// sends registers a statement that a client is about to send.
func (j *judge) sends(a *attempt) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.attempts[a.id] = a
	j.statement("client %s sends %s %s %s", a.session, a.id, a.verb, a.text)
}

// opened records the start of a session and its answer.
func (j *judge) opened(session, route string, r answer, err error) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.statement("client %s starts a session on route %s and gets %s (%v)", session, route, r, err)
}

// ran checks a statement that an instance runs; the database's mutex must be held.
func (j *judge) ran(i *instance, c *conn, id, verb, text, shape string, values map[string]string) *attempt {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	a := j.attempts[id]
	j.statement("%s runs %s %s %s on connection %d with values %v %s", i.id, id, verb, text, c.number, values, shape)
	if a == nil {
		j.broke("UNASKED", "%s runs %s, which no client sent", i.id, id)
		return nil
	}
	a.runs++
	if a.verb != verb || a.text != text {
		j.broke("UNASKED", "%s runs %s as %s %q, sent as %s %q", i.id, id, verb, text, a.verb, a.text)
	}
	if a.shape != shape {
		j.broke("PINNED", "%s runs %s of session %s as shape %q, prepared as %q", i.id, id, a.session, shape, a.shape)
	}
	if !maps.Equal(values, a.values) {
		j.broke("PINNED", "%s runs %s of session %s on connection %d with the session values %v; acknowledged to its client are %v", i.id, id, a.session, c.number, values, a.values)
	}
	if a.db != i.db {
		j.broke("ROUTE", "%s runs %s, meant for %s", i.id, id, a.db.name)
	}
	if a.tx != nil {
		if !c.inTx {
			j.broke("PINNED", "%s runs %s of session %s outside its transaction", i.id, id, a.session)
		}
		if c.tx != nil && c.tx != a.tx {
			j.broke("PINNED", "%s runs %s of session %s inside another client's transaction", i.id, id, a.session)
		}
	} else if c.inTx && c.tx != nil {
		j.broke("PINNED", "%s runs %s of session %s inside another client's transaction", i.id, id, a.session)
	}
	if verb == "READ" {
		j.checkFresh(i, a)
	}
	return a
}

// checkFresh checks that a read sees the commits that it has to see; both mutexes must be held.
func (j *judge) checkFresh(i *instance, a *attempt) {
	from := a.sent
	if a.tx != nil {
		from = a.tx.began
	}
	cutoff := from.Add(-a.staleness)
	for n := len(i.db.log) - 1; n >= i.applied; n-- {
		c := i.db.log[n]
		if !c.ackedAt.IsZero() && c.ackedAt.Before(cutoff) {
			j.broke("STALE", "%s runs the read %s of session %s with %d entries; entry %d was acknowledged %d ms before", i.id, a.id, a.session, i.applied, n+1, from.Sub(c.ackedAt).Milliseconds())
			return
		}
	}
	for _, c := range a.own {
		if !c.rolledBack && c.number > i.applied {
			j.broke("STALE", "%s runs the read %s of session %s with %d entries; it lacks the session's own entry %d", i.id, a.id, a.session, i.applied, c.number)
			return
		}
	}
}

// unknownName checks the execution of a name that the connection lacks; the host may still repair that, so that only what the
// client is told counts.
func (j *judge) unknownName(i *instance, c *conn, id, name string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.statement("%s does not know the name %s of %s on connection %d", i.id, name, id, c.number)
}

// committed checks a commit; the database's mutex must be held.
func (j *judge) committed(i *instance, c *conn, id string) *attempt {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	a := j.attempts[id]
	j.statement("%s commits %s on connection %d", i.id, id, c.number)
	if a == nil || a.verb != "COMMIT" {
		j.broke("UNASKED", "%s commits %s, which is no commit of a client", i.id, id)
		return a
	}
	if c.tx != nil && c.tx != a.tx {
		j.broke("PINNED", "%s commits %s of session %s in another client's transaction", i.id, id, a.session)
	}
	a.runs++
	return a
}

// sign returns the signature of an answer.
func (j *judge) sign(id string, i *instance, value string) string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.signs++
	signature := fmt.Sprintf("%s.%s.%d", id, i.id, j.signs)
	j.signed[signature] = value
	return signature
}

// answered checks what a client was told about a statement.
func (j *judge) answered(a *attempt, r answer, err error) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.statement("client %s gets %s for %s (%v)", a.session, r, a.id, err)
	if err != nil {
		return
	}
	if r.code == "" {
		value, found := j.signed[r.signature]
		if !found || len(r.signature) <= len(a.id) || r.signature[:len(a.id)+1] != a.id+"." || (a.verb == "READ" && (len(r.rows) != 1 || r.rows[0] != value)) {
			j.broke("MIXED", "session %s gets a success for %s with signature %q and rows %q", a.session, a.id, r.signature, r.rows)
		}
	}
	if r.code == word["noStatement"] {
		j.broke("PINNED", "session %s is told that the prepared name of %s is unknown, though its preparing was acknowledged", a.session, a.id)
	}
	if promises[r.code] {
		a.promised = r.code
		if a.tx != nil {
			a.tx.promised = r.code
		}
	}
}

// promises are the codes that say that nothing of the attempt is kept.
var promises = map[string]bool{"BUSY": true, "ABORTED": true, "BEHIND": true, word["notPrimary"]: true, word["wrongInstance"]: true, "TOOMANY": true}

// acknowledged marks the commits of an attempt as acknowledged.
func (j *judge) acknowledged(d *database, a *attempt) (own []*commit) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	for n := len(d.log) - 1; n >= 0; n-- {
		if d.log[n].attempt == a {
			d.log[n].ackedAt = now
			own = append(own, d.log[n])
		}
	}
	return own
}

// finish checks the logs at the end.
func (j *judge) finish(databases []*database) {
	for _, d := range databases {
		d.mutex.Lock()
		seen := make(map[string]int)
		for _, c := range d.log {
			if a := c.attempt; a != nil && (a.promised != "" || (a.tx != nil && a.tx.promised != "")) {
				j.breaks("REFUSED", "%s: the writes of %s are committed, though its client was told that nothing is kept", d.name, a.id)
			}
			for _, w := range c.writes {
				seen[w.id]++
				if seen[w.id] == 2 {
					j.breaks("TWICE", "%s: the write %s took effect twice", d.name, w.id)
				}
			}
		}
		d.mutex.Unlock()
	}
}

// close writes the result and returns the number of broken rules.
func (j *judge) close() int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	total := 0
	for rule, count := range j.broken {
		j.write("%s was broken %d times", rule, count)
		total += count
	}
	j.write("rules broken: %d", total)
	_ = j.file.Close()
	return total
}
