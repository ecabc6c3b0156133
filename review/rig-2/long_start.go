package main

import (
	"bufio"
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
	crowdSize = 700     // sessions that the crowd keeps open at each of two machines; far below the session limit
	longUser  = 1000000 // bytes of the user in START; a message may have 1 MiB
	shortUser = 16

	sampleLimit = 40 // lines of each kind in the record

	connectPause = 10 * time.Millisecond // between two sessions of the crowd that connect to a machine
	endsOfDay    = 3                     // ends of a machine's process that make it count for the fault
	memoryStep   = 10 * time.Millisecond
	crowdLimit   = 70 * time.Second // for the crowd
	calmTime     = 20 * time.Second // of the run without the disruption, after the crowd is in
)

// longStart lets a crowd of sessions stand open at two machines. With the disruption each START has a long user field.
//
// The platform kills a process that exceeds RamMb and starts it again; sessions reconnect after a close.
func longStart(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 1)
	if err != nil {
		return false, err
	}
	defer f.stop()
	f.cloud.Configure(1, standin.SampleRoutes("db0")...)
	if err := f.startAll("desk"); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var ends [2]atomic.Int64
	size := shortUser
	if trouble {
		size = longUser
	}
	crowded := f.machines[:2]
	for i, m := range crowded {
		r.note("%s: idle, %d MiB resident, RamMb %d", m.name, m.resident()>>20, m.memory)
		wait.Go(func() { m.enforceMemory(stop, &ends[i]) })
		wait.Go(func() { m.crowd(stop, size) })
	}
	var served, refused atomic.Int64
	for _, m := range f.machines {
		wait.Go(func() { m.ordinary(stop, &served, &refused) })
	}
	limit := crowdLimit
	if !trouble {
		limit = calmTime
	}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if ends[0].Load() >= endsOfDay && ends[1].Load() >= endsOfDay {
			break
		}
	}
	close(stop)
	wait.Wait()
	for i, m := range crowded {
		r.note("%s: %d times over RamMb", m.name, ends[i].Load())
	}
	r.note("ordinary reads: %d served, %d without success", served.Load(), refused.Load())
	return ends[0].Load() >= endsOfDay && ends[1].Load() >= endsOfDay, nil
}

// enforceMemory kills the process when it exceeds the machine's memory, as the platform does.
func (m *machine) enforceMemory(stop <-chan struct{}, ends *atomic.Int64) {
	most, reported := 0, time.Now()
	for {
		select {
		case <-stop:
			m.fleet.record.note("%s: %d MiB resident at most since its last start", m.name, most>>20)
			return
		case <-time.After(memoryStep):
		}
		size := m.resident()
		most = max(most, size)
		if time.Since(reported) > time.Second {
			reported = time.Now()
			m.fleet.record.note("%s: %d MiB resident", m.name, size>>20)
		}
		if size <= m.memory<<20 {
			continue
		}
		m.fleet.record.note("%s: %d MiB resident, over RamMb %d: killed by the platform", m.name, size>>20, m.memory)
		ends.Add(1)
		if exited := m.signal(syscall.SIGKILL); exited != nil {
			<-exited
		}
		most = 0
	}
}

// crowd keeps sessions open that have sent START and nothing else. They reconnect after a close.
func (m *machine) crowd(stop <-chan struct{}, userSize int) {
	start := "START desk " + strings.Repeat("u", userSize) + "\r\n"
	var open, accepted atomic.Int64
	var wait sync.WaitGroup
	turns := make(chan struct{}) // to connect
	wait.Go(func() {
		for ticker := time.NewTicker(connectPause); ; {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			select {
			case turns <- struct{}{}:
			case <-stop:
				return
			}
		}
	})
	for range crowdSize {
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-turns:
				}
				conn, err := connect(m.front, start)
				m.fleet.record.sample("crowd", sampleLimit, "%s: sent a START of %d bytes, accepted: %v, %v", m.name, len(start), err == nil, err)
				if err != nil {
					select {
					case <-stop:
						return
					case <-time.After(200 * time.Millisecond):
					}
					continue
				}
				accepted.Add(1)
				open.Add(1)
				closed := make(chan struct{})
				go func() {
					_, _ = conn.Read(make([]byte, 1)) // nothing is sent unasked
					close(closed)
				}()
				select {
				case <-stop:
				case <-closed:
				}
				conn.Close()
				open.Add(-1)
			}
		})
	}
	for {
		select {
		case <-stop:
			wait.Wait()
			m.fleet.record.note("%s: crowd: %d sessions were accepted in all", m.name, accepted.Load())
			return
		case <-time.After(time.Second):
			m.fleet.record.note("%s: crowd: %d sessions open, each with a START of %d bytes", m.name, open.Load(), len(start))
		}
	}
}

// connect opens a session and waits for READY.
func connect(address, start string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return nil, err
	}
	_, err = conn.Write([]byte(start))
	var line string
	if err == nil {
		line, err = bufio.NewReader(conn).ReadString('\n')
	}
	if err == nil && !strings.HasPrefix(line, "READY I") {
		err = fmt.Errorf("refused: %s", line)
	}
	if err == nil {
		err = conn.SetDeadline(time.Time{})
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// ordinary sends reads, each on a session of its own.
func (m *machine) ordinary(stop <-chan struct{}, served, refused *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		session, err := standin.Dial(m.front, "view", "ordinary", 2*time.Second)
		if err != nil {
			m.fleet.record.sample("ordinary, failed", sampleLimit, "%s: no session: %v", m.name, err)
			refused.Add(1)
			continue
		}
		reply, err := session.Query("READ lamp")
		session.Close()
		if err != nil || reply.Code != "" {
			m.fleet.record.sample("ordinary, failed", sampleLimit, "%s: READ lamp: %+v, %v", m.name, reply, err)
			refused.Add(1)
			continue
		}
		m.fleet.record.sample("ordinary", sampleLimit, "%s: READ lamp: %+v", m.name, reply)
		served.Add(1)
	}
}
