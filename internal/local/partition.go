package local

import (
	"fmt"
	"net/http"
	"sync"

	"redwingspread/internal/model"
)

// partitions simulates network partitions: calls from and to an isolated host get no response.
type partitions struct {
	mutex    sync.Mutex
	isolated map[model.HostID]bool
	hostOf   map[model.Address]model.HostID // host that listens on each address
}

// newPartitions returns partitions without an isolated host.
func newPartitions() *partitions {
	return &partitions{isolated: map[model.HostID]bool{}, hostOf: map[model.Address]model.HostID{}}
}

// setIsolated isolates a host, or reconnects it.
func (p *partitions) setIsolated(host model.HostID, isolated bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isolated[host] = isolated
}

// addHost registers the addresses of a host.
func (p *partitions) addHost(host model.HostID, addresses ...model.Address) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, address := range addresses {
		p.hostOf[address] = host
	}
}

// blocked reports whether a call from the host to the address gets no response.
func (p *partitions) blocked(from model.HostID, to model.Address) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.isolated[from] || p.isolated[p.hostOf[to]]
}

// partitionTransport holds blocked calls until their context ends.
type partitionTransport struct {
	partitions *partitions
	from       model.HostID
	next       http.RoundTripper
}

// RoundTrip sends a request. If the call is blocked when it starts or when the response arrives, it waits for the end of the
// request's context instead.
func (t partitionTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	address := model.Address(r.URL.Host)
	if t.partitions.blocked(t.from, address) {
		return t.wait(r)
	}
	response, err := t.next.RoundTrip(r)
	if err == nil && t.partitions.blocked(t.from, address) {
		response.Body.Close()
		return t.wait(r)
	}
	return response, err
}

// wait waits for the end of the request's context and returns its error.
func (t partitionTransport) wait(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, fmt.Errorf("network partition: %w", r.Context().Err())
}

// SetIsolated isolates a host from all network traffic, or reconnects it. The host keeps running.
func (d *Deployment) SetIsolated(index int, isolated bool) {
	d.partitions.setIsolated(d.Hosts[index].Settings.Host, isolated)
}

// Transport returns a transport for callers, which can't reach isolated hosts.
func (d *Deployment) Transport(next http.RoundTripper) http.RoundTripper {
	return partitionTransport{partitions: d.partitions, next: next}
}

// wrapPartition returns a host's middleware: the given one, inside the partitions.
func (d *Deployment) wrapPartition(from model.HostID, wrap func(http.RoundTripper) http.RoundTripper) func(http.RoundTripper) http.RoundTripper {
	return func(next http.RoundTripper) http.RoundTripper {
		return partitionTransport{partitions: d.partitions, from: from, next: wrap(next)}
	}
}
