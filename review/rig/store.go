package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the store.
type row struct {
	Table     string `json:"Table"`
	Part      string `json:"part"`
	Key       string `json:"Key"`
	Value     string `json:"Value"`
	Ver       uint64 `json:"Ver"`
	Tombstone bool   `json:"Tombstone,omitempty"`
}

// store is the platform's metadata store.
type store struct {
	mutex   sync.Mutex
	rows    map[string]row
	version uint64
	changed chan struct{}
	down    bool // answers 503
	silent  bool // calls that arrive get no answer
	started time.Time
}

func newStore() *store {
	return &store{rows: make(map[string]row), changed: make(chan struct{}), started: time.Now()}
}

// put writes a row; the mutex must be held.
func (s *store) put(r row) {
	r.Ver = s.version
	s.rows[r.Table+"\x00"+r.Key] = r
}

// commit ends a change and wakes those who wait for one; the mutex must be held.
func (s *store) commit() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a document to a row.
func (s *store) set(table, key string, document any) {
	value, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.put(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value)})
	s.commit()
}

// remove drops a row.
func (s *store) remove(table, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.put(row{Table: table, Key: key, Tombstone: true})
	s.commit()
}

// setDown makes the store refuse every call with 503, or serve again.
func (s *store) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	s.commit()
}

// setSilent makes the store give no answer to the calls that arrive, or serve again.
func (s *store) setSilent(silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = silent
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mutex.Lock()
	down, silent := s.down, s.silent
	s.mutex.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case word["getPath"]:
		s.get(w, r)
	case word["feedPath"]:
		s.feed(w, r)
	case word["changePath"]:
		s.change(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reply writes a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// now returns the store's steady clock in milliseconds.
func (s *store) now() int64 { return time.Since(s.started).Milliseconds() }

// get answers a read of a range.
func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := []row{}
	for _, one := range s.rows {
		if one.Table == q.Get("Table") && one.Part == q.Get("part") && !one.Tombstone && one.Key >= q.Get("From") && (q.Get("To") == "" || one.Key < q.Get("To")) {
			found = append(found, one)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	reply(w, http.StatusOK, map[string]any{"rows": found, "HasMore": more, "Ver": s.version, "NowMs": s.now()})
}

// feed answers with the rows changed after a version, and waits for one.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		found := []row{}
		for _, one := range s.rows {
			if one.Table == q.Get("Table") && one.Ver > after {
				found = append(found, one)
			}
		}
		sort.Slice(found, func(i, j int) bool { return found[i].Ver < found[j].Ver })
		version, changed, down := s.version, s.changed, s.down
		s.mutex.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": found, "Ver": version, "NowMs": s.now()})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"rows": found, "Ver": version, "NowMs": s.now()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// change carries out a transaction.
func (s *store) change(w http.ResponseWriter, r *http.Request) {
	var body map[string][]row
	raw := make(map[string]json.RawMessage)
	if err := json.NewDecoder(r.Body).Decode(&raw); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body = make(map[string][]row)
	for _, name := range []string{word["expected"], word["sets"], word["deletes"]} {
		var list []row
		if err := json.Unmarshal(raw[name], &list); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		body[name] = list
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	conflict, current := false, []row{}
	for _, one := range body[word["expected"]] {
		known, found := s.rows[one.Table+"\x00"+one.Key]
		exists := found && !known.Tombstone
		if exists {
			current = append(current, known)
		}
		conflict = conflict || (exists && known.Ver != one.Ver) || (!exists && one.Ver != 0)
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "Ver": s.version, "NowMs": s.now()})
		return
	}
	s.version++
	for _, one := range body[word["sets"]] {
		s.put(one)
	}
	for _, one := range body[word["deletes"]] {
		s.put(row{Table: one.Table, Part: one.Part, Key: one.Key, Tombstone: true})
	}
	s.commit()
	reply(w, http.StatusOK, map[string]any{"Ver": s.version, "NowMs": s.now()})
}
