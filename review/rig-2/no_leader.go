package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"redwingspread/platform/standin"
)

const (
	recoveryTime = 12 * time.Second // RecoveryS
	measureTime  = 10 * time.Second // after it
	drainTime    = 7 * time.Second  // DrainMs
	exitAfter    = 500 * time.Millisecond
	agents       = 1  // odd entries
	lineLimit    = 80 // lines of each kind in the record
)

// noLeader plays a planned replacement of a primary during which all processes are killed, right after the primary has acknowledged that it
// steps down. With the disruption, another writer has left an entry that lacks fields among those of the instances.
func noLeader(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 1)
	if err != nil {
		return false, err
	}
	defer f.stop()
	f.cloud.Configure(1, standin.SampleRoutes("db0")...)
	primary, address := f.cloud.Instance("db0-0")
	database := primary.Database
	var demoted atomic.Bool
	phase := new(phases)
	killed := make(chan struct{})
	database.SetOnInstanceLine(func(id, line string) {
		r.sample("run "+phaseNames[phase.current.Load()], lineLimit, "instance %s: %s", id, strings.TrimRight(line, "\r\n"))
		if !strings.Contains(line, " DEMOTE ") {
			return
		}
		r.note("instance %s: %s", id, strings.TrimRight(line, "\r\n"))
		if id == "db0-0" && demoted.CompareAndSwap(false, true) {
			f.setEntry("db0-0", address, "draining", "replica", 3) // the instance reports a change of its role at once
			time.AfterFunc(5*time.Millisecond, func() {            // it has answered by then
				for _, m := range f.machines {
					m.signal(syscall.SIGKILL)
				}
				close(killed)
			})
		}
	})
	if err := f.startAll("desk"); err != nil {
		return false, err
	}
	if trouble {
		value := `{"Service":"db0","Addr":"` + closedAddress() + `","Zone":"coastal-a","Slots":2,"State":"ready","DbRole":"replica","Seq":1}`
		for n := range agents {
			r.note("another writer sets servers/agent-%d to %s", n, value)
			f.cloud.Store.SetRaw("servers", fmt.Sprintf("agent-%d", n), []byte(value))
		}
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i, m := range f.machines {
		for n, kind := range []string{"desk", "batch", "view"} {
			wait.Go(func() {
				time.Sleep(time.Duration(2*i+n) * 7 * time.Millisecond) // writes are spread
				m.anyItem(stop, kind, fmt.Sprintf("c%d%d", i, n), phase)
			})
		}
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.note("db0-0, the primary, is to be replaced: it reports draining")
	f.setEntry("db0-0", address, "draining", "primary", 2)
	go leave(ctx, f, primary)
	select {
	case <-killed:
	case <-time.After(10 * time.Second):
		return false, fmt.Errorf("the primary was not demoted")
	}
	phase.current.Store(phaseRecovery)
	r.note("all processes are killed")
	back := time.Now().Add(restartDelay)
	time.Sleep(time.Until(back.Add(recoveryTime)))
	phase.current.Store(phaseAfter)
	for until := time.Now().Add(measureTime); time.Now().Before(until); time.Sleep(time.Second) {
		id, term := database.Primary()
		r.note("the primary of db0 is %s in term %d", id, term)
	}
	close(stop)
	wait.Wait()
	before, after := phase.share(phaseBefore), phase.share(phaseAfter)
	r.note("served of the requests sent before the fault: %s", phase.text(phaseBefore))
	r.note("served of the requests sent in the %v after it: %s", recoveryTime, phase.text(phaseRecovery))
	r.note("served of the requests sent later than %v after the machines were back: %s", recoveryTime, phase.text(phaseAfter))
	return after < 0.25 && before >= 0.25, nil
}

// leave ends an instance as a planned shutdown does, and starts another one with its log.
func leave(ctx context.Context, f *fleet, old *standin.Instance) {
	time.Sleep(drainTime)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.record.note("no address for the new instance: %v", err)
		return
	}
	next := standin.NewInstance("db0-3", old.Database, false)
	go next.Serve(ctx, listener, make(chan error, 1))
	f.setEntry(next.ID, listener.Addr().String(), "ready", "replica", 1)
	time.Sleep(exitAfter)
	old.SetDown(true)
	f.cloud.Store.Remove("servers", old.ID)
	f.record.note("%s has ended, %s has its log", old.ID, next.ID)
}

// setEntry writes the complete entry of an instance.
func (f *fleet) setEntry(id, address, state, role string, sequence int) {
	f.cloud.Store.Set("servers", id, map[string]any{
		"Service": "db0", "Addr": address, "Zone": "east", "Version": "v1", "Slots": 2, "State": state, words.Cold: 0,
		"DbRole": role, "Seq": sequence, "born": 1,
	})
}

// closedAddress returns a loopback address at which nobody listens.
func closedAddress() string {
	addresses, err := standin.FreeAddresses(1)
	if err != nil {
		return "127.0.0.1:1"
	}
	return addresses[0]
}

// The phases.
const (
	phaseBefore   = iota // the final fault
	phaseRecovery        // from then until recoveryTime after the machines are back
	phaseAfter
)

// phaseNames names the phases in the record.
var phaseNames = [...]string{"before the fault", "in the time to recover", "after it"}

// phases count requests by the phase in which they were sent.
type phases struct {
	current atomic.Int64
	counts  [3]struct{ sent, served atomic.Int64 }
}

// share returns which part of the requests of a phase was served.
func (p *phases) share(phase int) float64 {
	return float64(p.counts[phase].served.Load()) / float64(max(p.counts[phase].sent.Load(), 1))
}

// text describes a phase.
func (p *phases) text(phase int) string {
	return fmt.Sprintf("%d of %d", p.counts[phase].served.Load(), p.counts[phase].sent.Load())
}

// anyItem writes and reads on sessions of a kind of work; a request whose session is refused counts as not served.
func (m *machine) anyItem(stop <-chan struct{}, kind, name string, phase *phases) {
	var client *lineClient
	for n := 0; ; n++ {
		select {
		case <-stop:
			if client != nil {
				client.conn.Close()
			}
			return
		case <-time.After(oddPause):
		}
		current := phase.current.Load()
		count, kindOfLine := &phase.counts[current], "sent "+phaseNames[current]
		count.sent.Add(1)
		if client == nil {
			var err error
			if client, err = dialLine(m.front, kind, name); err != nil {
				m.fleet.record.sample(kindOfLine, lineLimit, "%s: client %s got no session: %v", m.name, name, err)
				client = nil
				continue
			}
		}
		text := "READ " + name
		if n%5 == 0 && kind != "view" {
			text = fmt.Sprintf("WRITE %s %s:%d", name, name, n)
		}
		a, err := client.query(fmt.Sprintf("%s.%d", name, n), text)
		m.fleet.record.sample(kindOfLine, lineLimit, "%s: client %s sent %s.%d %q and got code %q, row %q, DONE %q, %v", m.name, name, name, n, text, a.code, a.row, a.signature, err)
		if err != nil {
			client.conn.Close()
			client = nil
			continue
		}
		if a.code == "" {
			count.served.Add(1)
		}
	}
}
