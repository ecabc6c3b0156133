package main

import "time"

func init() { cases["sync"] = playSync }

// playSync shuts a replica down as planned; meanwhile the other replica receives nothing for a while and the primary crashes.
func playSync(w *world, trouble bool) error {
	d, err := w.addDatabase("ecore1", 1, 2, 16, 3*time.Millisecond, zoneNames...)
	if err != nil {
		return err
	}
	urgent := &route{host: "seat1", kind: "primary", db: d, timeoutMs: 800, goalMs: 400, priority: 0}
	w.routes = []*route{urgent}
	if err := w.startHosts(); err != nil {
		return err
	}
	primary, leaving, deaf := d.instances[0], d.instances[1], d.instances[2]
	traffic := w.startTraffic(urgent, 60*time.Millisecond)
	defer traffic.stop()
	time.Sleep(2 * time.Second)
	leaving.drain()
	if trouble {
		w.judge.record("%s receives nothing", deaf.id)
		d.setDeaf(deaf, true)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		primary.crash()
	}
	time.Sleep(5 * time.Second)
	d.setDeaf(deaf, false)
	time.Sleep(time.Second)
	if trouble {
		primary.revive()
	}
	leaving.replace() // the end of the planned shutdown, more than 7 s after the report
	time.Sleep(3 * time.Second)
	return nil
}
