package mesh

import (
	"context"
	"errors"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/governor"
	"redwingspread/internal/model"
)

// now is the moment of the tests.
var now = time.UnixMilli(5_000_000)

// fullHeartbeat returns a beat with everything in it.
func fullHeartbeat() governor.Beat {
	return governor.Beat{
		Host: "h1", Incarnation: 17, Sequence: 4, Leaving: true, Version: 9, Revision: 31,
		Sights: map[model.DatabaseID]failover.Sight{"seats": {Instance: "i1", Term: 3, State: failover.Silent, Since: now.Add(-700 * time.Millisecond)}},
		Loads:  map[model.InstanceID]model.Load{"i1": 27},
	}
}

func TestBeat(t *testing.T) {
	key, other := NewKey(), NewKey()
	tests := map[string]struct {
		beat   governor.Beat
		change func(datagram []byte) []byte
		key    *Key
		bad    bool
	}{
		"whole":               {beat: fullHeartbeat()},
		"without loads":       {beat: governor.Beat{Host: "h1", Sights: map[model.DatabaseID]failover.Sight{}}},
		"with no load":        {beat: governor.Beat{Host: "h1", Sights: map[model.DatabaseID]failover.Sight{}, Loads: map[model.InstanceID]model.Load{}}},
		"of another key":      {beat: fullHeartbeat(), key: &other, bad: true},
		"changed on the way":  {beat: fullHeartbeat(), change: func(d []byte) []byte { d[len(d)-3] ^= 1; return d }, bad: true},
		"cut off":             {beat: fullHeartbeat(), change: func(d []byte) []byte { return d[:20] }, bad: true},
		"shorter than a seal": {beat: fullHeartbeat(), change: func(d []byte) []byte { return d[:5] }, bad: true},
		"empty":               {beat: fullHeartbeat(), change: func([]byte) []byte { return nil }, bad: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			datagram, err := EncodeHeartbeat(&key, now, test.beat)
			if err != nil {
				t.Fatal(err)
			}
			if test.change != nil {
				datagram = test.change(datagram)
			}
			reader := &key
			if test.key != nil {
				reader = test.key
			}
			got, err := DecodeHeartbeat(reader, now, datagram)
			if test.bad {
				if !errors.Is(err, ErrInvalidMAC) {
					t.Errorf("got %v, want %v", err, ErrInvalidMAC)
				}
				return
			}
			if err != nil || !reflect.DeepEqual(got, test.beat) {
				t.Errorf("got %+v, %v, want %+v", got, err, test.beat)
			}
		})
	}
}

func TestSealsAreForOnePurpose(t *testing.T) {
	key := NewKey()
	body := []byte(`{"host":"h1"}`)
	if err := key.verifyMAC(purposeResponse, body, key.computeMAC(purposeRequest, body)); !errors.Is(err, ErrInvalidMAC) {
		t.Errorf("got %v, want %v", err, ErrInvalidMAC)
	}
}

// fullDirectory returns a directory with one of everything.
func fullDirectory() *directory.Directory {
	return &directory.Directory{
		Version: 9, Revision: 31, Idle: 3 * time.Second,
		Kinds:     map[model.KindID]model.Kind{"desk": {ID: "desk", Database: "seats", Reads: model.ReadOwn, Age: model.Age(time.Second), Timeout: 800 * time.Millisecond, Goal: 400 * time.Millisecond, Rank: model.RankTwo}},
		Databases: map[model.DatabaseID]model.Database{"seats": {ID: "seats", Connections: 16, Sync: true}},
		Instances: map[model.InstanceID]directory.Instance{"i1": {
			Instance: model.Instance{ID: "i1", Database: "seats", Address: "127.0.0.1:1", DataCentre: "east", Region: "coast", Leaving: true},
			Slots:    2, Role: model.RoleReplica, Born: 5, Cold: true, Revision: 30,
		}},
	}
}

// startNode returns a mesh that serves a directory until the test ends.
func startNode(t *testing.T, key *Key, d *directory.Directory) *Node {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	m := New()
	m.Host, m.Address = "h1", model.Address(address)
	m.Regions = map[model.DataCentreID]model.RegionID{"east": "coast"}
	m.Logger = &log.Logger{Handler: memory.New(), Level: log.InfoLevel}
	m.Directory = func() *directory.Directory { return d }
	m.OnHeartbeat = func(governor.Beat, model.Address) {}
	if key != nil {
		m.SetKey(*key)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go m.Run(ctx, done)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return m
}

func TestFetch(t *testing.T) {
	key, other := NewKey(), NewKey()
	tests := map[string]struct {
		has     *directory.Directory // of the asking host
		key     *Key
		kinds   bool
		entries bool
		bad     bool
	}{
		"nothing known":          {has: &directory.Directory{}, key: &key, kinds: true, entries: true},
		"an older configuration": {has: &directory.Directory{Version: 8, Revision: 31}, key: &key, kinds: true},
		"older instances":        {has: &directory.Directory{Version: 9, Revision: 30}, key: &key, entries: true},
		"all known":              {has: &directory.Directory{Version: 9, Revision: 31}, key: &key},
		"another key":            {has: &directory.Directory{}, key: &other, bad: true},
		"no key":                 {has: &directory.Directory{}, bad: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := fullDirectory()
			server := startNode(t, &key, d)
			client := startNode(t, test.key, test.has)
			var news *governor.News
			var err error
			for range 100 { // until the server listens
				if news, err = client.Fetch(context.Background(), "h1", server.Address); err == nil || test.bad {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if test.bad {
				if err == nil {
					t.Error("got news, want an error")
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if got := news.Configuration != nil; got != test.kinds {
				t.Errorf("got a configuration: %v, want %v", got, test.kinds)
			}
			if got := len(news.Entries) == 1; got != test.entries || got != news.Whole {
				t.Errorf("got %d entries, whole %v, want them: %v", len(news.Entries), news.Whole, test.entries)
			}
			if test.kinds && news.Configuration.Kinds[0] != d.Kinds["desk"] {
				t.Errorf("got %+v, want %+v", news.Configuration.Kinds[0], d.Kinds["desk"])
			}
			if test.entries && news.Entries[0].Instance != d.Instances["i1"] {
				t.Errorf("got %+v, want %+v", news.Entries[0].Instance, d.Instances["i1"])
			}
		})
	}
}

func FuzzDecodeBeat(f *testing.F) {
	key := NewKey()
	datagram, err := EncodeHeartbeat(&key, now, fullHeartbeat())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagram[macSize:])
	f.Fuzz(func(t *testing.T, body []byte) {
		if _, err := DecodeHeartbeat(&key, now, body); err == nil {
			t.Errorf("got a beat of %q without a seal, want an error", body)
		}
		sealed := append(key.computeMAC(purposeHeartbeat, body), body...)
		if beat, err := DecodeHeartbeat(&key, now, sealed); err == nil && beat.Sights == nil {
			t.Error("got a beat without sights, want an empty map")
		}
	})
}
