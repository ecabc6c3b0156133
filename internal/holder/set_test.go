package holder

import (
	"fmt"
	"slices"
	"testing"

	"redwingspread/internal/model"
)

// setOf returns the set of four of the hosts h0 to h31, as one host uses it.
func setOf(self int) *Set {
	var hosts []Host
	for i := range 4 {
		hosts = append(hosts, Host{ID: model.HostID(fmt.Sprintf("h%d", i)), Address: model.Address(fmt.Sprintf("a%d", i))})
	}
	return New("i1", model.HostID(fmt.Sprintf("h%d", self)), hosts)
}

// TestOrder guards against hosts that send a tenant's requests to different holders, each of which opens a connection for them, against a
// large tenant that fills one holder, and against requests that leave a host that may take them.
func TestOrder(t *testing.T) {
	const hosts, tenants = 32, 80
	tests := map[string]struct {
		share float64
		want  int // holders that take the tenant's requests
	}{
		"small tenant":        {share: 0.001, want: 1},
		"tenant of a quarter": {share: 0.25, want: 2},
		"tenant of a half":    {share: 0.5, want: 3},
		"only tenant":         {share: 1, want: 4},
		"share unknown":       {share: 0, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			taken := make(map[model.HostID]int) // tenants of which a holder takes requests
			for i := range tenants {
				tenant := model.TenantID(fmt.Sprintf("t%d", i))
				takers := make(map[model.HostID]bool)
				for self := range hosts {
					set := setOf(self)
					order, sharing := set.Order(nil, tenant, test.share)
					takers[order[0].ID] = true
					if got, want := set.TakesItself(tenant, test.share), order[0].ID == set.self; got != want {
						t.Errorf("got host %d to take the requests of %s: %t, want %t", self, tenant, got, want)
					}
					ids := make(map[model.HostID]bool)
					for _, host := range order {
						ids[host.ID] = true
					}
					if sharing != test.want {
						t.Errorf("got %d holders that share %s, want %d", sharing, tenant, test.want)
					}
					if len(order) != 4 || len(ids) != 4 {
						t.Errorf("got order %v, want each of the four holders once", order)
					}
				}
				if got := len(takers); got != test.want {
					t.Errorf("got %d holders of %s, want %d", got, tenant, test.want)
				}
				for id := range takers {
					taken[id]++
					if set := setOf(int(id[1] - '0')); !set.TakesItself(tenant, test.share) {
						t.Errorf("got requests of %s that leave %s, want it to take them", tenant, id)
					}
				}
			}
			for id, got := range taken {
				if most := tenants * test.want * 2 / 4; got > most {
					t.Errorf("got %d tenants at %s, want at most %d", got, id, most)
				}
			}
		})
	}
}

// TestOrderAfterALoss guards against all tenants moving to other holders, whose connections are then opened anew, when one holder is lost.
func TestOrderAfterALoss(t *testing.T) {
	all := setOf(9)
	rest := New("i1", "h9", []Host{{ID: "h0"}, {ID: "h1"}, {ID: "h3"}})
	for i := range 80 {
		tenant := model.TenantID(fmt.Sprintf("t%d", i))
		want, _ := all.Order(nil, tenant, 0)
		want = slices.DeleteFunc(want, func(host Host) bool { return host.ID == "h2" })
		if got, _ := rest.Order(nil, tenant, 0); got[0].ID != want[0].ID {
			t.Errorf("got %s for %s, want %s", got[0].ID, tenant, want[0].ID)
		}
	}
}

// BenchmarkOrder measures the choice of a holder, which is made for each statement that is passed on.
func BenchmarkOrder(b *testing.B) {
	set := setOf(9)
	var buffer [MaxHosts]Host
	b.ReportAllocs()
	for b.Loop() {
		_, _ = set.Order(buffer[:0], "t1", 0.1)
	}
}
