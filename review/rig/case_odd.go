package main

import (
	"encoding/base64"
	"fmt"
	"strings"
	"time"
)

func init() { cases["odd"] = playOdd }

// setRaw writes bytes to a row.
func (s *store) setRaw(table, key, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.put(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value))})
	s.commit()
}

// playOdd leaves odd entries among those of the instances, and checks that the hosts go on and follow changes.
func playOdd(w *world, trouble bool) error {
	d, err := w.addDatabase("ecore1", 0, 2, 16, 3*time.Millisecond, zoneNames...)
	if err != nil {
		return err
	}
	urgent := &route{host: "seat1", kind: "primary", db: d, timeoutMs: 800, goalMs: 400, priority: 0}
	w.routes = []*route{urgent}
	if err := w.startHosts(); err != nil {
		return err
	}
	traffic := w.startTraffic(urgent, 50*time.Millisecond)
	defer traffic.stop()
	good := fmt.Sprintf(`"Service":"ecore1","Zone":"coastal-a","Version":"v1","Slots":2,"State":"ready","%s":0,"DbRole":"replica","Seq":4`, word["cold"])
	odd := []string{
		"", "null", "[]", "{", "\xff\xfe\x00", `"text"`, "1e999", `{}`,
		strings.Repeat(`{"a":`, 9000) + "1" + strings.Repeat("}", 9000),
		strings.Repeat("[", 40000),
		`{` + good + `,"Addr":"127.0.0.1:99999"}`, `{` + good + `,"Addr":"127.0.0.1:-1"}`, `{` + good + `,"Addr":"127.0.0.1"}`, `{` + good + `,"Addr":7}`,
		`{` + good + `,"Addr":"[::1]:80"}`, `{` + good + `,"Addr":"0.0.0.0:0"}`, `{` + good + `,"Addr":"127.0.0.1:9","born":1e30}`,
		`{` + good + `,"Addr":"127.0.0.1:9","born":99999999999999999999}`, `{` + good + `,"Addr":"127.0.0.1:9","x":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`,
		strings.Replace(`{`+good+`,"Addr":"127.0.0.1:9"}`, `"Slots":2`, `"Slots":1e18`, 1),
		strings.Replace(`{`+good+`,"Addr":"127.0.0.1:9"}`, `"Slots":2`, `"Slots":65536`, 1),
		strings.Replace(`{`+good+`,"Addr":"127.0.0.1:9"}`, `"State":"ready"`, `"State":"gone"`, 1),
		strings.Replace(`{`+good+`,"Addr":"127.0.0.1:9"}`, `:0,"DbRole"`, `:1e308,"DbRole"`, 1),
		strings.Replace(`{`+good+`,"Addr":"127.0.0.1:9"}`, `"Seq":4`, `"Seq":-99999999999999999999`, 1),
		strings.Replace(`{`+good+`,"Addr":"127.0.0.1:9"}`, `"ecore1"`, `"other"`, 1),
		strings.Replace(`{`+good+`,"Addr":"127.0.0.1:9"}`, `"ecore1"`, `["ecore1"]`, 1),
	}
	for n, value := range odd {
		w.store.setRaw("servers", fmt.Sprintf("i-odd%02d", n), value)
		w.store.setRaw("servers", strings.Repeat("k", 180)+fmt.Sprint(n), value)
		time.Sleep(450 * time.Millisecond)
	}
	added := &route{host: "seat9", kind: "primary", db: d, timeoutMs: 800, goalMs: 400, priority: 0}
	w.routes = append(w.routes, added)
	w.configure()
	time.Sleep(3 * time.Second)
	for _, h := range w.hosts {
		select {
		case <-h.ended:
			w.judge.breaks("FAULT", "%s has ended", h.name)
		default:
		}
		s, err := w.open("p."+h.name, h.address, added)
		if err != nil {
			w.judge.breaks("CONFIG", "%s: %v", h.name, err)
			continue
		}
		if r, err := s.data("READ item1"); err != nil || r.code != "" {
			w.judge.breaks("SERVED", "%s: %v %v", h.name, r, err)
		}
		s.close()
	}
	return nil
}
