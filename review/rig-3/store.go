package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store, under the names of PROTOCOL.md.
type row struct {
	Table     string `json:"Table"`
	Part      string `json:"part"`
	Key       string `json:"Key"`
	Value     string `json:"Value"`
	Ver       uint64 `json:"Ver"`
	Tombstone bool   `json:"Tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store. It keeps the newest version of each row, tombstones included, so that every
// version that it has given out since its start can be followed.
type store struct {
	mutex   sync.Mutex
	rows    map[string]row
	version uint64
	era     int
	away    bool
	changed chan struct{}
	started time.Time
	onTx    func(rows []row) // called for each accepted transaction of a host, without the lock
}

// copyOf is a copy of the store's contents.
type copyOf struct {
	rows    map[string]row
	version uint64
	at      time.Time
}

func newStore() *store {
	return &store{rows: make(map[string]row), changed: make(chan struct{}), started: time.Now(), era: 1}
}

// put writes a row; the lock is held.
func (s *store) put(r row) {
	s.version++
	r.Ver = s.version
	s.rows[r.Table+"\x00"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a document for the operator or an instance, and returns its version, or false while the store is away.
func (s *store) set(table, key string, document any) (uint64, bool) {
	value, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.away {
		return 0, false
	}
	s.put(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value)})
	return s.version, true
}

// remove deletes a row of an instance that has left.
func (s *store) remove(table, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.away {
		s.put(row{Table: table, Key: key, Tombstone: true})
	}
}

// copy returns a copy of the contents.
func (s *store) copy() copyOf {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c := copyOf{rows: make(map[string]row, len(s.rows)), version: s.version, at: time.Now()}
	for key, r := range s.rows {
		c.rows[key] = r
	}
	return c
}

// leave makes the store go away: calls get no answer, as from a machine without power.
func (s *store) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = true
}

// restore makes the store come back from a copy. Its versions go back, and its era rises by one.
func (s *store) restore(c copyOf) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rows = make(map[string]row, len(c.rows))
	for key, r := range c.rows {
		s.rows[key] = r
	}
	s.version = c.version
	s.era++
	s.away = false
	s.changed = make(chan struct{}) // calls of the era before get no answer any more
}

// rowsAfter returns the rows of a table with a later version, in version order; the lock is held.
func (s *store) rowsAfter(table string, after uint64, removed bool) []row {
	rows := []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Ver > after && (removed || !r.Tombstone) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
	return rows
}

// readable returns the version, the era and whether the store serves a call that began in the given era.
func (s *store) readable(era int) bool { return !s.away && s.era == era }

// ServeHTTP handles the calls of hosts.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	era, away := s.era, s.away
	s.mutex.Unlock()
	if away {
		<-r.Context().Done() // without power: no answer
		return
	}
	time.Sleep(2 * time.Millisecond)
	switch r.URL.Path {
	case words.Get:
		s.get(w, r, era)
	case words.Feed:
		s.feed(w, r, era)
	case words.Change:
		s.tx(w, r, era)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer writes an answer with the headers of the era, or none if the store has gone away since the call.
func (s *store) answer(w http.ResponseWriter, r *http.Request, era, status int, body any) {
	s.mutex.Lock()
	readable := s.readable(era)
	s.mutex.Unlock()
	if !readable {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) now() int64 { return time.Since(s.started).Milliseconds() }

func (s *store) get(w http.ResponseWriter, r *http.Request, era int) {
	query := r.URL.Query()
	s.mutex.Lock()
	rows, version := s.rowsAfter(query.Get("Table"), 0, false), s.version
	s.mutex.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	selected := []row{}
	for _, one := range rows {
		if one.Key >= query.Get("From") && (query.Get("To") == "" || one.Key < query.Get("To")) {
			selected = append(selected, one)
		}
	}
	limit, err := strconv.Atoi(query.Get("Limit"))
	if err != nil || limit > 500 || limit <= 0 {
		limit = 500
	}
	more := len(selected) > limit
	if more {
		selected = selected[:limit]
	}
	s.answer(w, r, era, http.StatusOK, map[string]any{"rows": selected, "HasMore": more, "Ver": version, "NowMs": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, era int) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		if !s.readable(era) {
			s.mutex.Unlock()
			<-r.Context().Done()
			return
		}
		rows, version, changed := s.rowsAfter(query.Get("Table"), after, true), s.version, s.changed
		s.mutex.Unlock()
		if after > version { // a version that the store doesn't have
			s.answer(w, r, era, http.StatusGone, nil)
			return
		}
		if len(rows) > 0 {
			s.answer(w, r, era, http.StatusOK, map[string]any{"rows": rows, "Ver": version, "NowMs": s.now()})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.answer(w, r, era, http.StatusOK, map[string]any{"rows": []row{}, "Ver": version, "NowMs": s.now()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request, era int) {
	var body map[string][]row
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		s.answer(w, r, era, http.StatusBadRequest, nil)
		return
	}
	for _, change := range append(append([]row{}, body["SetKeys"]...), body["Delete"]...) {
		if change.Table == "op" || change.Table == "servers" {
			s.answer(w, r, era, http.StatusForbidden, nil)
			return
		}
	}
	s.mutex.Lock()
	if !s.readable(era) {
		s.mutex.Unlock()
		<-r.Context().Done()
		return
	}
	conflicts := []row{}
	for _, want := range body[words.Expected] {
		held := s.rows[want.Table+"\x00"+want.Key]
		if held.Tombstone {
			held = row{Table: want.Table, Key: want.Key}
		}
		if held.Ver != want.Ver {
			conflicts = append(conflicts, held)
		}
	}
	if len(conflicts) == 0 && len(body["SetKeys"])+len(body["Delete"]) > 0 {
		s.version++ // one version for each transaction
		for _, change := range append(append([]row{}, body["SetKeys"]...), body["Delete"]...) {
			change.Ver = s.version
			s.rows[change.Table+"\x00"+change.Key] = change
		}
		for _, change := range body["Delete"] {
			held := s.rows[change.Table+"\x00"+change.Key]
			held.Tombstone = true
			s.rows[change.Table+"\x00"+change.Key] = held
		}
		close(s.changed)
		s.changed = make(chan struct{})
	}
	version := s.version
	s.mutex.Unlock()
	if len(conflicts) > 0 {
		s.answer(w, r, era, http.StatusPreconditionFailed, map[string]any{"rows": conflicts, "Ver": version})
		return
	}
	if s.onTx != nil {
		s.onTx(body["SetKeys"])
	}
	s.answer(w, r, era, http.StatusOK, map[string]any{"Ver": version, "NowMs": s.now()})
}

// serveHTTP serves a handler on a free loopback port and returns its address.
func serveHTTP(handler http.Handler) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}
