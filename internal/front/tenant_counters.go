package front

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"redwingspread/internal/model"
)

const (
	// maxTenantLabels is the number of tenants with metrics of their own; the metrics of all others are added up.
	maxTenantLabels = 256
	// otherTenants is the label of the others. It has a blank, which no tenant's name has.
	otherTenants model.TenantID = "other tenants"
)

// tenantCounter holds the metrics of one tenant.
type tenantCounter struct {
	operations int64 // that got a token of the allowance or need none
	refused    map[model.Code]int64
}

// tenantCounters holds the metrics by tenant, of sessions that are not passed on by another host.
type tenantCounters struct {
	mutex    sync.Mutex
	counters map[model.TenantID]*tenantCounter
}

// countOperation counts an operation that was let through.
func (c *tenantCounters) countOperation(tenant model.TenantID) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.of(tenant).operations++
}

// countRefusal counts a refusal that a tenant's caller was told.
func (c *tenantCounters) countRefusal(tenant model.TenantID, code model.Code) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.of(tenant).refused[code]++
}

// of returns the metrics of a tenant, or those of the others; the caller holds the mutex.
func (c *tenantCounters) of(tenant model.TenantID) *tenantCounter {
	if counter, found := c.counters[tenant]; found {
		return counter
	}
	if len(c.counters) >= maxTenantLabels {
		tenant = otherTenants
		if counter, found := c.counters[tenant]; found {
			return counter
		}
	}
	if c.counters == nil {
		c.counters = make(map[model.TenantID]*tenantCounter)
	}
	counter := &tenantCounter{refused: make(map[model.Code]int64)}
	c.counters[tenant] = counter
	return counter
}

// writeText writes the metrics as text, one per line.
func (c *tenantCounters) writeText(out io.Writer) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, tenant := range slices.Sorted(maps.Keys(c.counters)) {
		counter := c.counters[tenant]
		if _, err := fmt.Fprintf(out, "tenant_operations{tenant=%q} %d\n", tenant, counter.operations); err != nil {
			return err
		}
		for _, code := range slices.Sorted(maps.Keys(counter.refused)) {
			if _, err := fmt.Fprintf(out, "tenant_refused{tenant=%q,code=%q} %d\n", tenant, code, counter.refused[code]); err != nil {
				return err
			}
		}
	}
	return nil
}
