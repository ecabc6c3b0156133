package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// world is one run: the platform, the instances, the hosts and the clients.
type world struct {
	judge                      *judge
	store                      *store
	started                    time.Time
	dir                        string
	root                       string // of the repository
	databases                  []*database
	routes                     []*route
	hosts                      []*host
	proxies                    []*proxy
	nextConn                   atomic.Int64
	version                    int
	services                   map[string]int // connection limit by service
	storeAddress, orderAddress string
}

// host is one host process.
type host struct {
	name, zone string
	address    string // of sessions
	ready      string
	command    *exec.Cmd
	settings   string
	log        *os.File
	ended      chan struct{}
}

// proxy is a process that forwards connections.
type proxy struct {
	command *exec.Cmd
}

func newWorld(root, dir, recordPath string) (*world, error) {
	j, err := newJudge(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{judge: j, store: newStore(), started: time.Now(), dir: dir, root: root, services: make(map[string]int)}
	if w.storeAddress, err = serveHTTP(w.store); err != nil {
		return nil, err
	}
	return w, nil
}

// serveHTTP serves a handler on a free loopback port.
func serveHTTP(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// serveOperator serves the promotion call, once all databases are there.
func (w *world) serveOperator() (err error) {
	w.orderAddress, err = serveHTTP(&operator{w.databases})
	return err
}

// The ports of the hosts and proxies lie below those that outgoing connections take.
const firstPort, portCount = 20000, 12000

// nextPort is the offset of the next port to try; no port is given out twice.
var nextPort = rand.IntN(portCount)

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress() (string, error) {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort%portCount)
		nextPort++
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		socket, err := net.ListenPacket("udp4", address)
		_ = listener.Close()
		if err == nil {
			return address, socket.Close()
		}
	}
	return "", fmt.Errorf("no port is free for TCP and UDP")
}

// addDatabase adds a database with an instance in each zone, the first of which is the primary.
func (w *world) addDatabase(name string, syncReplicas, slots, maxConns int, work time.Duration, zones ...string) (*database, error) {
	d := newDatabase(name, syncReplicas, w.judge)
	w.databases = append(w.databases, d)
	w.services[name] = maxConns
	for n, zone := range zones {
		i := &instance{id: fmt.Sprintf("i-%s-%d", name, n), zone: zone, db: d, world: w, slots: make(chan struct{}, slots), maxConns: maxConns, work: work,
			distance: 12 * time.Millisecond, lag: 60 * time.Millisecond, conns: make(map[*conn]bool), term: 1}
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		i.own, i.address = listener.Addr().String(), listener.Addr().String()
		go i.serve(listener)
		d.instances = append(d.instances, i)
	}
	d.leader = d.instances[0]
	return d, nil
}

// addProxy puts a proxy process before an instance.
func (w *world) addProxy(i *instance) (*proxy, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &proxy{command: exec.Command(self, "-proxy", address+","+i.own)}
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	w.proxies = append(w.proxies, p)
	i.address = address
	for range 100 {
		if c, err := net.Dial("tcp4", address); err == nil {
			return p, c.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, fmt.Errorf("the proxy at %s does not start", address)
}

// stop and resume pause the proxy, so that what it forwards is held up in both directions.
func (p *proxy) stop()   { _ = p.command.Process.Signal(syscall.SIGSTOP) }
func (p *proxy) resume() { _ = p.command.Process.Signal(syscall.SIGCONT) }

// publishAll writes the entries of all instances, and keeps them up to date.
func (w *world) publishAll() {
	for _, d := range w.databases {
		d.mutex.Lock()
		for _, i := range d.instances {
			i.publish()
		}
		d.mutex.Unlock()
	}
}

// configure writes the next configuration.
func (w *world) configure() {
	w.version += 3
	routes, services := []map[string]any{}, []map[string]any{}
	for n, r := range w.routes {
		one := map[string]any{"Name": fmt.Sprintf("r-%d", n), "Host": r.host, "PathPrefix": "/", "Type": r.kind, "TimeoutMs": r.timeoutMs, "GoalMs": r.goalMs, "Prio": r.priority, "Service": r.db.name, "Attempts": 2}
		if r.staleness > 0 {
			one[word["staleness"]] = r.staleness.Milliseconds()
		}
		routes = append(routes, one)
	}
	for _, d := range w.databases {
		services = append(services, map[string]any{"Name": d.name, "HealthPath": "/health", "MaxConns": w.services[d.name], "Proto": "h1", "Tls": false, "SyncReplicas": d.sync})
	}
	w.store.set("op", "config", map[string]any{"Version": w.version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TxIdleMs": 3000}})
	w.judge.record("configuration %d is acknowledged", w.version)
}

// addHost starts a host with the command of the deploy file and settings like those of its template.
func (w *world) addHost(name, zone, zones string) (*host, error) {
	var a [4]string
	for n := range a {
		var err error
		if a[n], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	h := &host{name: name, zone: zone, address: a[0], ready: a[1], settings: filepath.Join(w.dir, name+".yaml")}
	text := fmt.Sprintf("host: %q\ndata-centre: %q\ndata-centres: %q\nsession-address: %q\nready-address: %q\nmesh-address: %q\nstore-address: %q\norder-address: %q\nstop-limit: \"6s\"\nleave-limit: \"7000ms\"\nmemory: \"414\"\nmetrics-address: %q\nfencing: \"on\"\n",
		name, zone, zones, a[0], a[1], a[2], w.storeAddress, w.orderAddress, a[3])
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if h.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		return nil, err
	}
	w.hosts = append(w.hosts, h)
	return h, w.start(h)
}

// start starts a host's process.
func (w *world) start(h *host) error {
	h.command = exec.Command(filepath.Join(w.root, "target", "redwingspread"), "front")
	h.command.Dir = w.root
	h.command.Env = []string{"REDWINGSPREAD_SETTINGS=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	h.command.Stdout, h.command.Stderr = h.log, h.log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	ended, command := make(chan struct{}), h.command
	h.ended = ended
	go func() {
		_ = command.Wait()
		w.judge.record("the process of %s ends: %s", h.name, command.ProcessState)
		close(ended)
	}()
	return nil
}

// signal sends a signal to a host's process.
func (w *world) signal(h *host, signal syscall.Signal) {
	w.judge.record("%s gets the signal %s", h.name, signal)
	_ = h.command.Process.Signal(signal)
}

// awaitReady waits until all hosts are ready.
func (w *world) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range w.hosts {
			select {
			case <-h.ended: // the platform starts a process again that has ended, as when another program has taken a port
				if err := w.start(h); err != nil {
					return err
				}
			default:
			}
			response, err := client.Get("http://" + h.ready + "/v1/ready")
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(w.hosts) {
			w.judge.record("%d hosts are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the hosts are not ready")
}

// stop ends all processes.
func (w *world) stop() {
	for _, h := range w.hosts {
		if h.command != nil && h.command.Process != nil {
			_ = h.command.Process.Signal(syscall.SIGCONT)
			_ = h.command.Process.Kill()
			<-h.ended
		}
	}
	for _, p := range w.proxies {
		p.resume()
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	}
}

// runProxy forwards connections until the process ends.
func runProxy(listen, target string) error {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return err
	}
	for {
		from, err := listener.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer from.Close()
			to, err := net.Dial("tcp4", target)
			if err != nil {
				return
			}
			defer to.Close()
			done := make(chan struct{}, 2)
			go func() { _, _ = io.Copy(to, from); done <- struct{}{} }()
			go func() { _, _ = io.Copy(from, to); done <- struct{}{} }()
			<-done
		}()
	}
}
