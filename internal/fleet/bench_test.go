package fleet

import (
	"fmt"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// newLargeMachine returns the machine of one host of a fleet of the sizes, with all rows read.
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

// BenchmarkTick measures one look at everything that is due, in a fleet where nothing happens.
func BenchmarkTick(b *testing.B) {
	sizes := map[string]struct{ hosts, databases int }{
		"today":          {4, 6},
		"middle":         {200, 300},
		"in two years":   {1800, 2800},
		"twice as large": {3600, 5600},
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

// BenchmarkSnapshot measures a new view after one change.
func BenchmarkSnapshot(b *testing.B) {
	m, _ := newLargeMachine(1800, 2800)
	b.ReportAllocs()
	for b.Loop() {
		m.dirty = true
		m.Snapshot()
	}
}
