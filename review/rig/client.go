package main

import (
	"bufio"
	"errors"
	"fmt"
	"maps"
	"net"
	"strings"
	"time"
)

// route is a kind of work.
type route struct {
	host, kind string
	db         *database
	staleness  time.Duration
	timeoutMs  int
	goalMs     int
	priority   int
}

// session is one client's session.
type session struct {
	name     string
	world    *world
	route    *route
	conn     net.Conn
	in       *bufio.Reader
	state    string
	values   map[string]string
	prepared map[string]string // READ|WRITE shape
	tx       *clientTx
	own      []*commit
	counter  int
	timeout  time.Duration
}

// answer is the answer to one request.
type answer struct {
	rows      []string
	signature string
	code      string
	text      string
	state     string
}

func (r answer) String() string {
	if r.code != "" {
		return fmt.Sprintf("%s (%s) state %s", r.code, r.text, r.state)
	}
	return fmt.Sprintf("success %s %v state %s", r.signature, r.rows, r.state)
}

var errSessionRefused = errors.New("the session was refused")

// open opens a session at a host.
func (w *world) open(name, address string, r *route) (*session, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{name: name, world: w, route: r, conn: c, in: bufio.NewReaderSize(c, 64<<10), state: "I", values: make(map[string]string), prepared: make(map[string]string), timeout: 3 * time.Second}
	fmt.Fprintf(c, "%s %s %s\r\n", word["start"], r.host, name)
	got, err := s.receive()
	w.judge.opened(name, r.host, got, err)
	if err == nil && got.code != "" {
		err = fmt.Errorf("%w: %s", errSessionRefused, got.code)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return s, nil
}

func (s *session) close() { _ = s.conn.Close() }

// receive reads one answer.
func (s *session) receive() (r answer, err error) {
	_ = s.conn.SetReadDeadline(time.Now().Add(s.timeout))
	for {
		line, err := s.in.ReadString('\n')
		if err != nil {
			if r.code != "" {
				return r, nil
			}
			return r, err
		}
		kind, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch kind {
		case word["row"]:
			r.rows = append(r.rows, rest)
		case word["done"]:
			r.signature = rest
		case word["err"]:
			r.code, r.text, _ = strings.Cut(rest, " ")
		case word["ready"]:
			r.state, _, _ = strings.Cut(rest, " ")
			s.state = r.state
			return r, nil
		}
	}
}

func (s *session) nextID() string {
	s.counter++
	return fmt.Sprintf("%s-%d", s.name, s.counter)
}

// control sends a request that the system may answer itself.
func (s *session) control(text string) (answer, error) {
	id := s.nextID()
	s.world.judge.mutex.Lock()
	s.world.judge.statement("client %s sends %s %s", s.name, id, text)
	s.world.judge.mutex.Unlock()
	if _, err := fmt.Fprintf(s.conn, "%s %s %s\r\n", word["query"], id, text); err != nil {
		return answer{}, err
	}
	r, err := s.receive()
	s.world.judge.mutex.Lock()
	s.world.judge.statement("client %s gets %s for %s (%v)", s.name, r, id, err)
	s.world.judge.mutex.Unlock()
	return r, err
}

func (s *session) set(name, value string) (answer, error) {
	r, err := s.control("SET " + name + " " + value)
	if err == nil && r.code == "" {
		s.values[name] = value
	}
	return r, err
}

func (s *session) prepare(name, shape string) (answer, error) {
	r, err := s.control("PREPARE " + name + " " + shape)
	if err == nil && r.code == "" {
		s.prepared[name] = shape
	}
	return r, err
}

func (s *session) begin(readOnly bool) (answer, error) {
	began := time.Now()
	text := word["begin"]
	if readOnly {
		text += " READ"
	}
	r, err := s.control(text)
	if err == nil && r.code == "" {
		s.tx = &clientTx{began: began}
	}
	return r, err
}

func (s *session) rollback() (answer, error) {
	s.tx = nil
	return s.control(word["rollback"])
}

// data sends a read, a write, an execution or a commit, and checks the answer.
func (s *session) data(text string) (answer, error) {
	a := s.attempt(text)
	s.world.judge.sends(a)
	if _, err := fmt.Fprintf(s.conn, "%s %s %s\r\n", word["query"], a.id, text); err != nil {
		return answer{}, err
	}
	r, err := s.receive()
	s.settle(a, r, err)
	return r, err
}

// attempt returns the attempt of a statement that is about to be sent.
func (s *session) attempt(text string) *attempt {
	verb, rest, _ := strings.Cut(text, " ")
	a := &attempt{id: s.nextID(), session: s.name, verb: verb, text: rest, values: maps.Clone(s.values), tx: s.tx, db: s.route.db, staleness: s.route.staleness, sent: time.Now()}
	if verb == "EXEC" {
		name, arguments, _ := strings.Cut(rest, " ")
		a.shape, a.text = s.prepared[name], arguments
		a.verb, _, _ = strings.Cut(a.shape, " ")
	}
	if s.route.kind == "read_your_writes" {
		a.own = s.own
	}
	return a
}

// settle checks the answer to an attempt.
func (s *session) settle(a *attempt, r answer, err error) {
	s.world.judge.answered(a, r, err)
	if a.verb == "COMMIT" {
		s.tx = nil
	}
	if err == nil && r.code == "" && (a.verb == "COMMIT" || (a.verb == "WRITE" && a.tx == nil)) {
		s.own = append(s.own, s.world.judge.acknowledged(s.route.db, a)...)
	}
}
