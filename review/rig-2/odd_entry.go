package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"redwingspread/platform/standin"
)

const (
	oddCallers  = 3 // at each machine
	oddPause    = 20 * time.Millisecond
	oddAfter    = 3 * time.Second  // from the start of the callers to the odd entry
	oddTime     = 20 * time.Second // of the callers
	intruder    = "0123456789abcdef"
	intruderOn  = "seat-17"
	callTimeout = 5 * time.Second
	oddLines    = 200 // lines of each kind in the record
)

// oddEntry lets another writer leave an entry among those of the instances. It lacks fields, and its key has a line break.
//
// The rule is broken if a write is committed that no client sent. Answers that went to the wrong client are counted beside it.
func oddEntry(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 1)
	if err != nil {
		return false, err
	}
	defer f.stop()
	f.cloud.Configure(1, standin.SampleRoutes("db0")...)
	instance, address := f.cloud.Instance("db0-0")
	sent := &sentRequests{ids: map[string]bool{"-": true}}
	var unasked, foreign atomic.Int64
	instance.Database.SetOnInstanceLine(func(id, line string) {
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		request, _, _ := strings.Cut(rest, " ")
		if word == words.Request && !sent.has(request) && !strings.HasPrefix(request, "probe.") {
			unasked.Add(1)
			r.sample("run, sent by no client", oddLines, "instance %s: %s", id, strings.TrimRight(line, "\r\n"))
			return
		}
		r.sample("run", oddLines, "instance %s: %s", id, strings.TrimRight(line, "\r\n"))
	})
	if err := f.startAll("desk"); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var served, refused atomic.Int64
	for i, m := range f.machines {
		for n := range oddCallers {
			wait.Go(func() { m.ownItem(stop, fmt.Sprintf("c%d%d", i, n), sent, &served, &refused, &foreign) })
		}
	}
	time.Sleep(oddAfter)
	if trouble {
		key := fmt.Sprintf("db0-0\r\nQUERY %s WRITE %s taken", intruder, intruderOn)
		value, err := json.Marshal(map[string]any{ // three fields are missing
			"Service": "db0", "Addr": address, "Zone": "coastal-a", "Slots": 2, "State": "ready", "DbRole": "replica", "Seq": 1,
		})
		if err != nil {
			return false, err
		}
		r.note("another writer sets servers/%q to %s", key, value)
		f.cloud.Store.SetRaw("servers", key, value)
	}
	time.Sleep(oddTime - oddAfter)
	close(stop)
	wait.Wait()
	written := 0
	committed, rolledBack := instance.Database.Log()
	for _, commit := range append(committed, rolledBack...) {
		for _, write := range commit.Writes {
			if !sent.has(write.ID) {
				written++
			}
		}
	}
	r.note("%d requests served, %d without success", served.Load(), refused.Load())
	r.note("%d statements that no client sent reached an instance, %d such writes were committed", unasked.Load(), written)
	r.note("%d successes with the signature or the row of another request", foreign.Load())
	return written > 0, nil
}

// sentRequests are the ids of the requests that clients have sent.
type sentRequests struct {
	mutex sync.Mutex
	ids   map[string]bool
}

// add notes a request before it is sent.
func (s *sentRequests) add(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ids[id] = true
}

// has reports whether a request was sent.
func (s *sentRequests) has(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ids[id]
}

// answer is a complete answer of a host.
type answer struct {
	row, signature, code, state string
}

// lineClient is a session that keeps the signature of each answer.
type lineClient struct {
	conn net.Conn
	in   *bufio.Reader
}

// dialLine opens a session.
func dialLine(address, kind, user string) (*lineClient, error) {
	conn, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &lineClient{conn: conn, in: bufio.NewReader(conn)}
	if a, err := c.send(fmt.Sprintf("START %s %s\r\n", kind, user)); err != nil || a.code != "" {
		conn.Close()
		return nil, fmt.Errorf("refused: %s %w", a.code, err)
	}
	return c, nil
}

// query sends a request and reads its answer.
func (c *lineClient) query(id, text string) (answer, error) {
	return c.send(fmt.Sprintf("QUERY %s %s\r\n", id, text))
}

// send sends a line and reads an answer up to its READY.
func (c *lineClient) send(line string) (a answer, err error) {
	if err := c.conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return a, err
	}
	if _, err := c.conn.Write([]byte(line)); err != nil {
		return a, err
	}
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "ROW":
			a.row = rest
		case "DONE":
			a.signature = rest
		case "ERR":
			a.code, _, _ = strings.Cut(rest, " ")
		case words.Ready:
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

// ownItem writes and reads an item that nobody else writes, on sessions of each kind of work, and checks signatures and rows. A
// signature of the stand-in ends with the id of its request.
func (m *machine) ownItem(stop <-chan struct{}, name string, sent *sentRequests, served, refused, foreign *atomic.Int64) {
	kinds := []string{"desk", "view", "batch"}
	for n := 0; ; {
		client, err := dialLine(m.front, kinds[n%len(kinds)], name)
		for err == nil && n%20 != 19 {
			select {
			case <-stop:
				client.conn.Close()
				return
			case <-time.After(oddPause):
			}
			n++
			id, text := fmt.Sprintf("%s.%d", name, n), "READ "+name
			if n%4 == 0 {
				text = fmt.Sprintf("WRITE %s %s:%d", name, name, n)
			}
			sent.add(id)
			var a answer
			if a, err = client.query(id, text); err != nil || a.code != "" {
				refused.Add(1)
				continue
			}
			served.Add(1)
			owned := a.row == "" || a.row == "none" || strings.HasPrefix(a.row, name+":")
			if !strings.HasSuffix(a.signature, "."+id) || !owned {
				foreign.Add(1)
				m.fleet.record.sample("answered with another request's answer", oddLines, "%s: client %s sent %s %q and got row %q, DONE %q", m.name, name, id, text, a.row, a.signature)
				continue
			}
			m.fleet.record.sample("answered", oddLines, "%s: client %s sent %s %q and got row %q, DONE %q", m.name, name, id, text, a.row, a.signature)
		}
		if err == nil {
			client.conn.Close()
		}
		n++
		select {
		case <-stop:
			return
		case <-time.After(oddPause):
		}
	}
}
