package local

import (
	"fmt"
	"net/http"
	"sync"

	"redwingspread/internal/model"
)

// cuts holds the hosts that are cut off: calls from them and to them get no answer.
type cuts struct {
	mutex sync.Mutex
	hosts map[model.HostID]bool
	owner map[model.Address]model.HostID // of each address of a host
}

// newCuts returns an empty set.
func newCuts() *cuts {
	return &cuts{hosts: map[model.HostID]bool{}, owner: map[model.Address]model.HostID{}}
}

// set cuts a host off, or ends the cut.
func (c *cuts) set(host model.HostID, off bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.hosts[host] = off
}

// know remembers the addresses of a host.
func (c *cuts) know(host model.HostID, addresses ...model.Address) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, address := range addresses {
		c.owner[address] = host
	}
}

// between reports whether a call from the host to the address is cut off.
func (c *cuts) between(from model.HostID, to model.Address) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.hosts[from] || c.hosts[c.owner[to]]
}

// cutTransport gives no answer to calls that are cut off.
type cutTransport struct {
	cuts *cuts
	from model.HostID
	next http.RoundTripper
}

// RoundTrip sends a request, or waits for its context's end when the call or its answer is cut off.
func (t cutTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	address := model.Address(r.URL.Host)
	if t.cuts.between(t.from, address) {
		return t.wait(r)
	}
	answer, err := t.next.RoundTrip(r)
	if err == nil && t.cuts.between(t.from, address) {
		answer.Body.Close()
		return t.wait(r)
	}
	return answer, err
}

// wait waits for the end of the request's context.
func (t cutTransport) wait(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, fmt.Errorf("cut off: %w", r.Context().Err())
}

// CutOff cuts one host off from everything, or ends the cut; it goes on running.
func (d *Deployment) CutOff(index int, off bool) {
	d.cuts.set(d.Hosts[index].Settings.Host, off)
}

// Transport returns a transport for callers, who reach no host that is cut off.
func (d *Deployment) Transport(next http.RoundTripper) http.RoundTripper {
	return cutTransport{cuts: d.cuts, next: next}
}

// wrapCuts returns the layers of a host's calls: the given one, within the cuts.
func (d *Deployment) wrapCuts(from model.HostID, wrap func(http.RoundTripper) http.RoundTripper) func(http.RoundTripper) http.RoundTripper {
	return func(next http.RoundTripper) http.RoundTripper {
		return cutTransport{cuts: d.cuts, from: from, next: wrap(next)}
	}
}
