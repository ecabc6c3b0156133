package fleet

import (
	"fmt"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// newLargeMachine returns the machine of one host in a fleet of the given size, after it has read all rows.
func newLargeMachine(hosts, databases int) (*Machine, time.Time) {
	now := time.Unix(1000, 0)
	m := New()
	m.Self = model.Host{ID: "h0"}
	m.Incarnation = 1
	nonce := 0
	m.NewNonce = func() model.Nonce { nonce++; return model.Nonce(fmt.Sprint(nonce)) }
	var list MembersRead
	for h := range hosts {
		list.Hosts = append(list.Hosts, model.Host{ID: model.HostID(fmt.Sprintf("h%d", h)), DataCentre: dataCentre(h)})
	}
	read := RowsRead{Revision: 1}
	for d := range databases {
		id := model.DatabaseID(fmt.Sprintf("d%d", d))
		row := model.Ownership{Database: id, Owner: model.HostID(fmt.Sprintf("h%d", d%hosts)), Term: 2, Version: 1}
		for i := range 3 {
			name := model.InstanceID(fmt.Sprintf("%s-%d", id, i))
			list.Instances = append(list.Instances, model.Instance{ID: name, Database: id, DataCentre: dataCentre(d + i)})
			row.Instances = append(row.Instances, name)
		}
		row.Primary = row.Instances[0]
		read.Rows = append(read.Rows, row)
	}
	m.Handle(now, list)
	m.Handle(now, read)
	return m, now
}

// BenchmarkTick measures the cost of one tick in a fleet without changes, by fleet size.
func BenchmarkTick(b *testing.B) {
	sizes := map[string]struct{ hosts, databases int }{
		"4 hosts":    {4, 6},
		"200 hosts":  {200, 300},
		"1800 hosts": {1800, 2800},
		"3600 hosts": {3600, 5600},
	}
	for name, size := range sizes {
		b.Run(name, func(b *testing.B) {
			m, now := newLargeMachine(size.hosts, size.databases)
			m.Handle(now, Tick{})
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(tickInterval)
				m.Handle(now, Tick{})
			}
		})
	}
}

// BenchmarkSnapshot measures the cost of a complete new view.
func BenchmarkSnapshot(b *testing.B) {
	m, _ := newLargeMachine(1800, 2800)
	b.ReportAllocs()
	for b.Loop() {
		m.dirty = true
		m.Snapshot()
	}
}
