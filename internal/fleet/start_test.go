package fleet

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

// TestStartWithoutThePlatform starts a host while the platform is down.
func TestStartWithoutThePlatform(t *testing.T) {
	tests := map[string]struct {
		prepare func(w *simulation)
		learns  bool
	}{
		"a peer tells it":             {prepare: func(*simulation) {}, learns: true},
		"answers of peers are late":   {prepare: func(w *simulation) { w.delay = func() time.Duration { return 40 * time.Millisecond } }, learns: true},
		"no peer has it in its list":  {prepare: func(w *simulation) { w.hosts["h3"].host.Address = "elsewhere"; w.isolate("h3") }},
		"the platform comes back":     {prepare: func(w *simulation) { w.schedule(time.Second, func() { w.store.down = false }) }, learns: true},
		"the platform is only slow":   {prepare: func(w *simulation) { w.store.down = false; w.storeDelay = 2 * time.Second }, learns: true},
		"half of the answers are bad": {prepare: func(w *simulation) { w.scheduleEvery(700*time.Millisecond, func() { w.store.down = !w.store.down }) }, learns: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(4, 3)
			w.run(15 * time.Second)
			row := w.store.rows["d0"]
			const restarted model.HostID = "h3"
			w.store.down = true
			w.hosts[restarted].down = true
			w.run(5 * time.Second)
			w.startHost(restarted)
			test.prepare(w)
			w.run(10 * time.Second)
			d := w.databaseView(restarted, "d0")
			if got := d != nil && d.Owner != ""; got != test.learns {
				t.Errorf("got the owner known %v, want %v", got, test.learns)
			}
			if row.Owner != restarted && test.learns && d != nil && d.Owner != row.Owner {
				t.Errorf("got owner %s, want %s", d.Owner, row.Owner)
			}
		})
	}
}
