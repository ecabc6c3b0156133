package fleet

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

// TestStartWithoutThePlatform checks whether a host learns the owners when it starts while the platform is down.
func TestStartWithoutThePlatform(t *testing.T) {
	tests := map[string]struct {
		prepare func(sim *simulation)
		learns  bool
	}{
		"a peer answers":            {prepare: func(*simulation) {}, learns: true},
		"answers of peers are late": {prepare: func(sim *simulation) { sim.delay = func() time.Duration { return 40 * time.Millisecond } }, learns: true},
		"no peer is reachable":      {prepare: func(sim *simulation) { sim.hosts["h3"].host.Address = "elsewhere"; sim.isolate("h3") }},
		"the platform comes back":   {prepare: func(sim *simulation) { sim.schedule(time.Second, func() { sim.store.down = false }) }, learns: true},
		"the platform is only slow": {prepare: func(sim *simulation) { sim.store.down = false; sim.storeDelay = 2 * time.Second }, learns: true},
		"the platform is down half of the time": {prepare: func(sim *simulation) {
			sim.scheduleEvery(700*time.Millisecond, func() { sim.store.down = !sim.store.down })
		}, learns: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(4, 3)
			sim.run(15 * time.Second)
			row := sim.store.rows["d0"]
			const restarted model.HostID = "h3"
			sim.store.down = true
			sim.hosts[restarted].down = true
			sim.run(5 * time.Second)
			sim.startHost(restarted)
			test.prepare(sim)
			sim.run(10 * time.Second)
			d := sim.databaseView(restarted, "d0")
			if got := d != nil && d.Owner != ""; got != test.learns {
				t.Errorf("got owner known %v, want %v", got, test.learns)
			}
			if row.Owner != restarted && test.learns && d != nil && d.Owner != row.Owner {
				t.Errorf("got owner %s, want %s", d.Owner, row.Owner)
			}
		})
	}
}
