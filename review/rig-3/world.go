package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	seedTime     = 100 * time.Millisecond
	graceSeconds = 6
	configApply  = 3 * time.Second
	loseEach     = 40 // one answer in so many is lost: a share of 0.025
	stableTime   = 5 * time.Second
)

// world is everything around the hosts: the platform, the instances, the hosts' processes and the record.
type world struct {
	trouble bool
	folder  string // temporary files
	program string
	record  *os.File

	mutex   sync.Mutex
	started time.Time
	ids     int
	runs    map[string]run      // by statement id, the newest
	commits map[string][]string // ids of statements that took effect, by service
	orders  []order
	holders map[string]map[uint64]string // of accepted promotions, by service and token

	store     *store
	storeAddr string
	cloudAddr string
	databases map[string]*database
	hosts     []*host
	config    map[string]any
	version   int
	routes    []route // of the first configuration

	processes sync.Mutex // held while a process is started or all are ended
	closed    bool       // no process is started any more
}

// run is where a statement has run.
type run struct{ service, instance, text string }

// order is a promotion call.
type order struct {
	holder, service, id string
	token               uint64
	status              int
	at                  time.Time
}

// host is one process of the project.
type host struct {
	name, zone     string
	session, ready string
	mesh, metrics  string
	settings       string
	command        *exec.Cmd
	exited         chan struct{}
	stopping       bool
	mutex          sync.Mutex
}

func newWorld(trouble bool, program, recordFile string) *world {
	folder, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		panic(err)
	}
	record, err := os.Create(recordFile)
	if err != nil {
		panic(err)
	}
	w := &world{
		trouble: trouble, folder: folder, program: program, record: record, started: time.Now(), runs: map[string]run{},
		commits: map[string][]string{}, holders: map[string]map[uint64]string{}, store: newStore(), databases: map[string]*database{}, config: map[string]any{},
	}
	w.storeAddr = serveHTTP(w.store)
	cloud := http.NewServeMux()
	cloud.HandleFunc("POST /promote", w.promote)
	w.cloudAddr = serveHTTP(cloud)
	w.store.onTx = func(rows []row) {
		for _, r := range rows {
			w.logf("store: a host writes %s/%s: %s", r.Table, r.Key, decode(r.Value))
		}
	}
	return w
}

// logf writes a line to the record.
func (w *world) logf(format string, arguments ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, arguments...))
}

func (w *world) newID() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.ids++
	return fmt.Sprintf("i-%08x", 0x5a10c000+w.ids*7919)
}

// noteRun records that an instance runs a statement.
func (w *world) noteRun(service string, i *instance, id, text string) {
	if id == "-" {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.runs[id] = run{service, i.id, text}
}

// noteCommit records that writes took effect.
func (w *world) noteCommit(service string, i *instance, id string, writes []string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, write := range writes {
		one, _, _ := strings.Cut(write, " ")
		w.commits[service] = append(w.commits[service], one)
	}
}

// loses decides whether the answer to a request that has run is lost, which it is for one in loseEach, and records it. The instance's
// database is locked.
func (w *world) loses(i *instance, id, text string) bool {
	i.ran++
	if i.ran%loseEach != 0 {
		return false
	}
	w.logf("instance %s of %s has run %s %s; its answer is lost", i.id, i.db.name, id, text)
	return true
}

// ranAt returns where a statement has run.
func (w *world) ranAt(id string) (run, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	r, found := w.runs[id]
	return r, found
}

// addDatabase starts a service with a primary and two replicas.
func (w *world) addDatabase(name string, zones []string) *database {
	d := &database{world: w, name: name, term: 1, instances: map[string]*instance{}}
	w.databases[name] = d
	for n, zone := range zones {
		i := d.start(zone)
		if n == 0 {
			d.mutex.Lock()
			d.primary = i
			d.mutex.Unlock()
		}
	}
	for _, i := range d.list() {
		i.beat()
	}
	return d
}

// promote serves POST /promote: it refuses a fencing token that is lower than one seen for the service, and lets the instance lead 600 ms later.
func (w *world) promote(response http.ResponseWriter, r *http.Request) {
	var body struct{ Service, Id string }
	token, err := strconv.ParseUint(r.Header.Get(words.Token), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	o := order{holder: r.Header.Get(words.Holder), service: body.Service, id: body.Id, token: token, status: http.StatusOK, at: time.Now()}
	d := w.databases[body.Service]
	var chosen *instance
	if d == nil {
		o.status = http.StatusConflict
	} else {
		d.mutex.Lock()
		chosen = d.instances[body.Id]
		switch {
		case token < d.fence:
			o.status = http.StatusConflict
		default:
			d.fence = token
			if chosen == nil || chosen.stopped {
				o.status = http.StatusConflict
			}
		}
		d.mutex.Unlock()
	}
	w.mutex.Lock()
	w.orders = append(w.orders, o)
	if o.status == http.StatusOK {
		if w.holders[o.service] == nil {
			w.holders[o.service] = map[uint64]string{}
		}
	}
	w.mutex.Unlock()
	w.logf("promote: holder %s, service %s, instance %s, token %d: %d", o.holder, o.service, o.id, o.token, o.status)
	if o.status == http.StatusOK {
		time.AfterFunc(promoteTime, func() { d.promote(chosen) })
	}
	response.WriteHeader(o.status)
}

// accepted returns the accepted promotions.
func (w *world) accepted() (orders []order) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, o := range w.orders {
		if o.status == http.StatusOK {
			orders = append(orders, o)
		}
	}
	return orders
}

// route is a route of the configuration.
type route struct {
	host, kind, service string
	timeout, goal, prio int
	stale               int
}

// configure writes the next version of the configuration; it tries again while the store is away. It returns the time of the ack.
func (w *world) configure(routes []route) time.Time {
	w.version += 3
	list := []map[string]any{}
	for n, r := range routes {
		one := map[string]any{
			"Name": fmt.Sprintf("r-%d", n), "Host": r.host, "PathPrefix": "/", "Type": r.kind, "TimeoutMs": r.timeout, "GoalMs": r.goal,
			"Prio": r.prio, "Service": r.service, "Attempts": 2,
		}
		if r.stale > 0 {
			one[words.Stale] = r.stale
		}
		list = append(list, one)
	}
	services := []map[string]any{}
	for name := range w.databases {
		services = append(services, map[string]any{"Name": name, "HealthPath": "/health", "MaxConns": maxConns, "Proto": "h1", "Tls": false, "SyncReplicas": 0})
	}
	w.config = map[string]any{"Version": w.version, "Routes": list, "Services": services, "Limits": map[string]any{"TxIdleMs": 3000}}
	return w.writeConfig()
}

// writeConfig writes the newest configuration, until the store accepts it.
func (w *world) writeConfig() time.Time {
	for {
		version, ok := w.store.set("op", "config", w.config)
		if ok {
			w.logf("operator: configuration %d acknowledged as row version %d", w.version, version)
			return time.Now()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// nextPort is where the search for free ports goes on: below the range from which the kernel takes ports of outgoing connections.
var nextPort = 20000 + os.Getpid()%4000*2

// freePort returns a loopback address with a free port, whose next port is free too and stays unused.
func freePort() string {
	for {
		if nextPort += 2; nextPort > 32000 {
			nextPort = 20000
		}
		if isFree(nextPort) && isFree(nextPort+1) {
			return "127.0.0.1:" + strconv.Itoa(nextPort)
		}
	}
}

// isFree reports whether a port can be used for TCP and UDP.
func isFree(port int) bool {
	address := "127.0.0.1:" + strconv.Itoa(port)
	tcp, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}

// addHost writes the settings of a host, as the platform makes them from deploy/front.yaml, and starts it.
func (w *world) addHost(name, zone string) *host {
	h := &host{name: name, zone: zone, session: freePort(), ready: freePort(), mesh: freePort(), metrics: freePort()}
	h.settings = filepath.Join(w.folder, name+".yaml")
	text := fmt.Sprintf(`host: "%s"
data-centre: "%s"
data-centres: "coastal-a=coastal,brazos-a=brazos,hill-a=hill-country"
session-address: "%s"
ready-address: "%s"
mesh-address: "%s"
store-address: "%s"
order-address: "%s"
stop-limit: "%ds"
leave-limit: "7000ms"
apply-limit: "3000ms"
memory: "414"
descriptors: "6450"
metrics-address: "%s"
relay: "on"
outlier-detection: "on"
fencing: "on"
revoke-strict: "off"
centre-cost: "4ms"
region-cost: "30ms"
`, name, zone, h.session, h.ready, h.mesh, w.storeAddr, w.cloudAddr, graceSeconds, h.metrics)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	w.hosts = append(w.hosts, h)
	w.startHost(h)
	return h
}

// startHost starts the process of a host.
func (w *world) startHost(h *host) {
	w.processes.Lock()
	defer w.processes.Unlock()
	if w.closed {
		return
	}
	logFile, err := os.OpenFile(filepath.Join(w.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	command := exec.Command(w.program, "front")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "REDWINGSPREAD_SETTINGS=" + h.settings}
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		panic(err)
	}
	h.mutex.Lock()
	h.command, h.exited = command, make(chan struct{})
	exited := h.exited
	h.mutex.Unlock()
	w.logf("host %s started", h.name)
	go func() {
		_ = command.Wait()
		_ = logFile.Close()
		close(exited)
		w.logf("host %s ended: %s", h.name, command.ProcessState)
	}()
}

// signal sends a signal to the process of a host.
func (w *world) signal(h *host, signal syscall.Signal) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	w.logf("host %s gets %s", h.name, signal)
	_ = h.command.Process.Signal(signal)
}

// restartPlanned sends SIGTERM, SIGKILL after GraceS if needed, and starts the process again a moment after its end.
func (w *world) restartPlanned(h *host, down time.Duration) {
	w.signal(h, syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(graceSeconds * time.Second):
		w.signal(h, syscall.SIGKILL)
		<-h.exited
	}
	time.Sleep(down)
	w.startHost(h)
}

// isReady asks a host as the balancer does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready; it returns false after the limit.
func (w *world) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, h := range w.hosts {
			all = all && h.isReady()
		}
		if all {
			w.logf("all hosts are ready")
			return true
		}
	}
	return false
}

// close ends all processes that this one started, and removes the temporary files. With RIG_KEEP they stay.
func (w *world) close() {
	w.processes.Lock()
	defer w.processes.Unlock()
	w.closed = true
	for _, h := range w.hosts {
		_ = h.command.Process.Kill()
		<-h.exited
	}
	if os.Getenv("RIG_KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("kept:", w.folder)
	}
	_ = w.record.Close()
}

// client is a caller's session.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

// dial opens a session for a database name.
func dial(address, database string) (*client, string, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, "", err
	}
	c := &client{conn: conn, in: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(conn, "START %s u3f1\r\n", database); err != nil {
		_ = conn.Close()
		return nil, "", err
	}
	line, err := c.in.ReadString('\n')
	if err != nil {
		_ = conn.Close()
		return nil, "", err
	}
	if !strings.HasPrefix(line, words.Ready) {
		_ = conn.Close()
		return nil, strings.TrimSpace(line), nil
	}
	return c, "", nil
}

// reply is the answer to a request.
type reply struct {
	rows  []string
	done  string // the signature, or "-"
	code  string // of a refusal
	text  string
	state string
}

// query sends a request and returns its answer.
func (c *client) query(id, text string, limit time.Duration) (r reply, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return r, err
	}
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return r, err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch word {
		case "ROW":
			r.rows = append(r.rows, rest)
		case "DONE":
			r.done = rest
		case "ERR":
			r.code, r.text, _ = strings.Cut(rest, " ")
		case words.Ready:
			r.state, _, _ = strings.Cut(rest, " ")
			return r, nil
		default:
			return r, fmt.Errorf("unexpected message %q", line)
		}
	}
}

func (c *client) close() {
	_, _ = c.conn.Write([]byte("BYE\r\n"))
	_ = c.conn.Close()
}
