package local

import (
	"fmt"
	"net/http"
	"sync"

	"redwingspread/internal/model"
)

// partitions holds the hosts that are cut off: calls from them and to them get no answer.
type partitions struct {
	mutex    sync.Mutex
	isolated map[model.HostID]bool
	hostOf   map[model.Address]model.HostID // of each address of a host
}

// newPartitions returns an empty set.
func newPartitions() *partitions {
	return &partitions{isolated: map[model.HostID]bool{}, hostOf: map[model.Address]model.HostID{}}
}

// set cuts a host off, or ends the cut.
func (c *partitions) set(host model.HostID, off bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isolated[host] = off
}

// addHost remembers the addresses of a host.
func (c *partitions) addHost(host model.HostID, addresses ...model.Address) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, address := range addresses {
		c.hostOf[address] = host
	}
}

// blocked reports whether a call from the host to the address is cut off.
func (c *partitions) blocked(from model.HostID, to model.Address) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.isolated[from] || c.isolated[c.hostOf[to]]
}

// partitionTransport gives no answer to calls that are cut off.
type partitionTransport struct {
	partitions *partitions
	from       model.HostID
	next       http.RoundTripper
}

// RoundTrip sends a request, or waits for its context's end when the call or its answer is cut off.
func (t partitionTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	address := model.Address(r.URL.Host)
	if t.partitions.blocked(t.from, address) {
		return t.wait(r)
	}
	answer, err := t.next.RoundTrip(r)
	if err == nil && t.partitions.blocked(t.from, address) {
		answer.Body.Close()
		return t.wait(r)
	}
	return answer, err
}

// wait waits for the end of the request's context.
func (t partitionTransport) wait(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, fmt.Errorf("cut off: %w", r.Context().Err())
}

// SetIsolated cuts one host off from everything, or ends the cut; it goes on running.
func (d *Deployment) SetIsolated(index int, off bool) {
	d.partitions.set(d.Hosts[index].Settings.Host, off)
}

// Transport returns a transport for callers, who reach no host that is cut off.
func (d *Deployment) Transport(next http.RoundTripper) http.RoundTripper {
	return partitionTransport{partitions: d.partitions, next: next}
}

// wrapPartition returns the layers of a host's calls: the given one, within the cuts.
func (d *Deployment) wrapPartition(from model.HostID, wrap func(http.RoundTripper) http.RoundTripper) func(http.RoundTripper) http.RoundTripper {
	return func(next http.RoundTripper) http.RoundTripper {
		return partitionTransport{partitions: d.partitions, from: from, next: wrap(next)}
	}
}
