package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
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

	"redwingspread/platform/standin"
)

// restartDelay is the pause before the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// record is the file record.txt: what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
	counts  map[string]int // of the samples of each kind
}

// note writes a line with the time since the start.
func (r *record) note(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// sample writes a line unless there are as many of its kind already, so that the record stays readable.
func (r *record) sample(kind string, limit int, format string, arguments ...any) {
	r.mutex.Lock()
	r.counts[kind]++
	written := r.counts[kind] <= limit
	r.mutex.Unlock()
	if written {
		r.note(kind+": "+format, arguments...)
	}
}

// machine is one machine of the deployment, with its process.
type machine struct {
	fleet                      *fleet
	name, zone                 string
	ip, front, ready           string
	memory, descriptors        int    // MiB; number
	storeAddress, cloudAddress string // as the machine reaches them

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{} // closed when the process has ended
	stopped bool          // not started again
	starts  int
}

// fleet is a small deployment: the machines of gpcea-enrol, the store, the promotion service and the instances.
type fleet struct {
	record   *record
	root     string // of the repository
	dir      string // temporary folder
	cloud    *standin.Cloud
	machines []*machine
	template string
	net      int // second octet of the machines' addresses
	first    int // port
}

// The machines of the small deployment gpcea-enrol.
var small = []struct {
	zone                string
	memory, descriptors int
}{{"coastal-a", 414, 6450}, {"coastal-a", 414, 6450}, {"brazos-a", 544, 8600}, {"hill-a", 544, 8600}}

// newFleet starts the stand-ins and prepares the machines; no process runs yet.
func newFleet(r *record, databases int) (*fleet, error) {
	root, err := filepath.Abs(filepath.Join(filepath.Dir(os.Args[0]), "..", ".."))
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "front.yaml"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, root: root, dir: dir, template: string(template), cloud: standin.NewCloud()}
	running.Store(f)
	if err := f.cloud.Start(); err != nil {
		return nil, err
	}
	for n := range databases {
		if _, err := f.cloud.AddDatabase(fmt.Sprintf("db%d", n), 3); err != nil {
			return nil, err
		}
	}
	if err := f.choosePorts(); err != nil {
		return nil, err
	}
	for i, kind := range small {
		ip := fmt.Sprintf("127.%d.%d.%d", f.net, i+1, 10)
		f.machines = append(f.machines, &machine{
			fleet: f, name: fmt.Sprintf("front-%s-%d", kind.zone, i+1), zone: kind.zone, ip: ip,
			front: fmt.Sprintf("%s:%d", ip, f.first), ready: fmt.Sprintf("%s:%d", ip, f.first+1),
			memory: kind.memory, descriptors: kind.descriptors,
			storeAddress: f.cloud.StoreAddress, cloudAddress: f.cloud.OrderAddress,
		})
	}
	return f, nil
}

// choosePorts chooses loopback addresses and ports that are free on all machines.
func (f *fleet) choosePorts() error {
	for range 50 {
		f.net, f.first = 64+rand.IntN(128), 20000+20*rand.IntN(500)
		if f.portsFree() {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

// portsFree reports whether the chosen ports are free.
func (f *fleet) portsFree() bool {
	for i := range small {
		for port := f.first; port < f.first+18; port++ {
			address := fmt.Sprintf("127.%d.%d.10:%d", f.net, i+1, port)
			listener, err := net.Listen("tcp4", address)
			if err != nil {
				return false
			}
			listener.Close()
			packets, err := net.ListenPacket("udp4", address)
			if err != nil {
				return false
			}
			packets.Close()
		}
	}
	return true
}

// settings returns the fields of the settings file, as DEPLOY.md and SYSTEM.md have them for gpcea-enrol.
func (m *machine) settings() map[string]any {
	first := m.fleet.first
	return map[string]any{
		"Node": m.name, "Role": "proxy", "Class": "front", "Ip": m.ip, "Zone": m.zone,
		"Zones":     map[string]any{"coastal-a": "coastal", "brazos-a": "brazos", "hill-a": "hill-country"},
		"Listen":    map[string]any{"Front": m.front, "Ready": m.ready},
		"PortRange": []any{first + 2, first + 17},
		"Limits":    map[string]any{"CpuShare": 0.608, "Cores": 1, "RamMb": m.memory, "MaxFds": m.descriptors},
		"Bounds": map[string]any{
			"StableMs": 5000, "AckMs": 6000, "DrainMs": 7000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 3000,
			"BackMs": 250, "SkewMaxMs": 15000, "RecoveryS": 12, "RequireFence": true,
		},
		"platform": map[string]any{"Addr": m.storeAddress},
		"Cloud":    map[string]any{"Addr": m.cloudAddress},
	}
}

// start starts the process of the machine with the command of the deploy file.
func (m *machine) start() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.stopped {
		return nil
	}
	path := filepath.Join(m.fleet.dir, m.name+".yaml")
	if err := os.WriteFile(path, []byte(render(m.fleet.template, m.settings())), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	m.command = exec.Command(filepath.Join(m.fleet.root, "target", "redwingspread"), "front")
	m.command.Dir = m.fleet.root
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "REDWINGSPREAD_SETTINGS=" + path}
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return err
	}
	m.starts++
	m.exited = make(chan struct{})
	m.fleet.record.note("%s: process %d started", m.name, m.command.Process.Pid)
	go m.await(m.command, m.exited)
	return nil
}

// await waits for the end of a process and starts another one, as the platform does.
func (m *machine) await(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	close(exited)
	m.fleet.record.note("%s: process %d ended: %v", m.name, command.Process.Pid, err)
	time.Sleep(restartDelay)
	if err := m.start(); err != nil {
		m.fleet.record.note("%s: start: %v", m.name, err)
	}
}

// signal sends a signal to the process, and returns the channel that is closed at its end.
func (m *machine) signal(signal syscall.Signal) <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.command == nil || m.command.Process == nil {
		return nil
	}
	_ = m.command.Process.Signal(signal) // fails if the process has just ended
	return m.exited
}

// resident returns the resident memory of the process in bytes; zero if it does not run.
func (m *machine) resident() int {
	m.mutex.Lock()
	command := m.command
	m.mutex.Unlock()
	if command == nil || command.Process == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		if name, rest, _ := strings.Cut(string(line), ":"); name == "VmRSS" {
			kibibytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kibibytes << 10
		}
	}
	return 0
}

// isReady asks the process for its readiness, as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.ready + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts all processes and waits until each is ready and has served a read.
func (f *fleet) startAll(kind string) error {
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if !m.awaitServing(kind, 20*time.Second) {
			return fmt.Errorf("%s does not serve", m.name)
		}
	}
	return nil
}

// awaitServing waits until the machine is ready and serves a read.
func (m *machine) awaitServing(kind string, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if !m.isReady() {
			continue
		}
		session, err := standin.Dial(m.front, kind, "probe", 2*time.Second)
		if err != nil {
			continue
		}
		reply, err := session.Query("READ probe")
		session.Close()
		if err == nil && reply.Code == "" {
			return true
		}
	}
	return false
}

// stop ends all processes and stand-ins.
func (f *fleet) stop() {
	for _, m := range f.machines {
		m.mutex.Lock()
		m.stopped = true
		m.mutex.Unlock()
		m.signal(syscall.SIGCONT)
		if exited := m.signal(syscall.SIGKILL); exited != nil {
			<-exited
		}
	}
	f.cloud.Stop()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}
