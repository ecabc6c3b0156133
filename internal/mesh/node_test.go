package mesh

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"redwingspread/internal/allowance"
	"redwingspread/internal/controller"
	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/lease"
	"redwingspread/internal/model"
	"redwingspread/internal/scout"
	"redwingspread/pkg/api/meshapi"
)

// now is the time in the tests.
var now = time.UnixMilli(5_000_000)

// fullHeartbeat returns a heartbeat with every field set.
func fullHeartbeat() controller.Heartbeat {
	return controller.Heartbeat{
		Host: "h1", Incarnation: 17, Sequence: 4, Leaving: true, Version: 9, Position: model.StorePosition{Era: 2, Revision: 31}, Rows: model.StorePosition{Era: 2, Revision: 12}, Follows: true, Packing: packing,
		Primaries: map[model.DatabaseID]failover.Observation{"seats": {Instance: "i1", Term: 3, State: failover.Silent, Since: now.Add(-700 * time.Millisecond)}},
		Loads:     map[model.InstanceID]model.Load{"i1": 27},
		Asked:     model.Instant(17 * time.Second),
		Proofs:    []scout.Proof{{Database: "seats", Instance: "i1", Point: model.Point{Term: 3, Position: 88}, SentAt: model.Instant(5 * time.Second)}},
		Lease: &lease.Message{
			Sent: model.Instant(18 * time.Second), Heard: model.Instant(4 * time.Second), Digest: 91,
			Assignments: []lease.Assignment{{Database: "seats", Instance: "i1", Token: 6}},
			Released:    map[model.DatabaseID]model.Token{"seats": 6},
			Silent:      []model.HostID{"h7"},
		},
	}
}

// TestHeartbeatWithoutEra guards against a position of a host of the release before that is taken for one of an earlier era.
func TestHeartbeatWithoutEra(t *testing.T) {
	body, err := (&meshapi.Beat{Host: "h1", Revision: 31}).MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeHeartbeat(&testKey, now, sealHeartbeat(&testKey, body))
	if err != nil || !got.Undated || got.Position.Revision != 31 {
		t.Errorf("got %+v, %v, want revision 31 without an era", got, err)
	}
}

func TestHeartbeat(t *testing.T) {
	key, other := NewKey(), NewKey()
	tests := map[string]struct {
		heartbeat controller.Heartbeat
		change    func(datagram []byte) []byte
		key       *Key
		fails     bool
	}{
		"complete":           {heartbeat: fullHeartbeat()},
		"without loads":      {heartbeat: controller.Heartbeat{Host: "h1", Primaries: map[model.DatabaseID]failover.Observation{}}},
		"with empty loads":   {heartbeat: controller.Heartbeat{Host: "h1", Primaries: map[model.DatabaseID]failover.Observation{}, Loads: map[model.InstanceID]model.Load{}}},
		"another key":        {heartbeat: fullHeartbeat(), key: &other, fails: true},
		"modified":           {heartbeat: fullHeartbeat(), change: func(d []byte) []byte { d[len(d)-3] ^= 1; return d }, fails: true},
		"truncated":          {heartbeat: fullHeartbeat(), change: func(d []byte) []byte { return d[:20] }, fails: true},
		"shorter than a MAC": {heartbeat: fullHeartbeat(), change: func(d []byte) []byte { return d[:5] }, fails: true},
		"empty":              {heartbeat: fullHeartbeat(), change: func([]byte) []byte { return nil }, fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			datagram, err := EncodeHeartbeat(&key, now, test.heartbeat)
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
			if test.fails {
				if !errors.Is(err, ErrInvalidMAC) {
					t.Errorf("got %v, want %v", err, ErrInvalidMAC)
				}
				return
			}
			if err != nil || !reflect.DeepEqual(got, test.heartbeat) {
				t.Errorf("got %+v, %v, want %+v", got, err, test.heartbeat)
			}
		})
	}
}

// TestPacking checks that packed heartbeats are read like plain ones, that they are short, and that hosts of an earlier release get
// plain ones.
func TestPacking(t *testing.T) {
	idle := controller.Heartbeat{
		Host: "front-brazos-b-12", Incarnation: 1_780_000_000_000_000_000, Sequence: 812, Version: 37, Position: model.StorePosition{Revision: 2231}, Rows: model.StorePosition{Revision: 2100},
		Primaries: map[model.DatabaseID]failover.Observation{}, Loads: map[model.InstanceID]model.Load{}, Packing: packing,
	}
	tests := map[string]struct {
		heartbeat controller.Heartbeat
		receiver  controller.Receiver
		packed    bool
		most      int // bytes of the datagram
	}{
		"complete":               {heartbeat: fullHeartbeat(), receiver: controller.Receiver{Packing: packing, Heard: model.Instant(4 * time.Second)}, packed: true, most: 250},
		"of an idle host":        {heartbeat: idle, receiver: controller.Receiver{Packing: packing}, packed: true, most: 80},
		"for an earlier release": {heartbeat: idle, most: 250},
		"for a later release":    {heartbeat: idle, receiver: controller.Receiver{Packing: packing + 1}, packed: true, most: 80},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			key := NewKey()
			n := New()
			n.Now = func() time.Time { return now }
			for range 2 { // the second one reuses the first one's compressor
				datagram, err := n.encodeFor(&key, test.receiver, test.heartbeat)
				if err != nil {
					t.Fatal(err)
				}
				if got := datagram[MACSize] == packMark; got != test.packed || len(datagram) > test.most {
					t.Errorf("got %d bytes, packed %v, want at most %d, packed %v", len(datagram), got, test.most, test.packed)
				}
				if got, err := DecodeHeartbeat(&key, now, datagram); err != nil || !reflect.DeepEqual(got, test.heartbeat) {
					t.Errorf("got %+v, %v, want %+v", got, err, test.heartbeat)
				}
			}
		})
	}
}

// TestUnpackRefuses checks that a packed message can't take more memory than a plain one, and that a broken one is refused.
func TestUnpackRefuses(t *testing.T) {
	pack := func(body []byte) []byte {
		packed, err := new(Packer).Pack(body)
		if err != nil {
			t.Fatal(err)
		}
		return packed
	}
	tests := map[string]struct {
		body []byte
		want bool // it is read
	}{
		"as large as a message may be": {body: pack(make([]byte, maxMessageSize)), want: true},
		"larger":                       {body: pack(make([]byte, 100*maxMessageSize))},
		"cut off":                      {body: pack([]byte("a message of some length"))[:6]},
		"not compressed":               {body: append([]byte{packMark}, bytes.Repeat([]byte{255}, 40)...)},
		"nothing after the mark":       {body: []byte{packMark}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if message, err := Unpack(test.body); (err == nil) != test.want {
				t.Errorf("got %d bytes, %v, want them: %v", len(message), err, test.want)
			}
		})
	}
}

func TestMACPurposes(t *testing.T) {
	key := NewKey()
	body := []byte(`{"host":"h1"}`)
	if err := key.verifyMAC(purposeResponse, body, key.computeMAC(purposeRequest, body)); !errors.Is(err, ErrInvalidMAC) {
		t.Errorf("got %v, want %v", err, ErrInvalidMAC)
	}
}

// fullDirectory returns a directory with one entry of each type and every field set.
func fullDirectory() *directory.Directory {
	return &directory.Directory{
		Version: 9, Position: model.StorePosition{Era: 2, Revision: 31}, TransactionIdleLimit: 3 * time.Second,
		Kinds:     map[model.KindID]model.Kind{"desk": {ID: "desk", Database: "seats", Consistency: model.ReadYourWrites, MaxAge: model.Age(time.Second), Timeout: 800 * time.Millisecond, Goal: 400 * time.Millisecond, Rank: model.RankTwo}},
		Databases: map[model.DatabaseID]model.Database{"seats": {ID: "seats", Connections: 16, SyncCommit: true}},
		Instances: map[model.InstanceID]directory.Instance{"i1": {
			Instance: model.Instance{ID: "i1", Database: "seats", Address: "127.0.0.1:1", DataCentre: "east", Region: "coast", Leaving: true},
			Slots:    2, Role: model.RoleReplica, Incarnation: 5, Cold: true, Position: model.StorePosition{Era: 2, Revision: 30},
		}},
	}
}

// startNode returns a node that serves a directory until the test ends; the options set its fields.
func startNode(t *testing.T, key *Key, d *directory.Directory, options ...func(*Node)) *Node {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	n := New()
	n.Host, n.Address = "h1", model.Address(address)
	n.Regions = map[model.DataCentreID]model.RegionID{"east": "coast"}
	n.Logger = &log.Logger{Handler: memory.New(), Level: log.InfoLevel}
	n.Directory = func() *directory.Directory { return d }
	n.OnHeartbeat = func(controller.Heartbeat, model.Address) {}
	for _, set := range options {
		set(n)
	}
	if key != nil {
		n.SetKey(*key)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go n.Run(ctx, done)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return n
}

func TestFetch(t *testing.T) {
	key, other := NewKey(), NewKey()
	tests := map[string]struct {
		has     *directory.Directory // of the requesting host
		key     *Key
		kinds   bool
		entries bool
		fails   bool
	}{
		"nothing fetched before":                  {has: &directory.Directory{}, key: &key, kinds: true, entries: true},
		"an older configuration":                  {has: &directory.Directory{Version: 8, Position: model.StorePosition{Era: 2, Revision: 31}}, key: &key, kinds: true},
		"older instances":                         {has: &directory.Directory{Version: 9, Position: model.StorePosition{Era: 2, Revision: 30}}, key: &key, entries: true},
		"up to date":                              {has: &directory.Directory{Version: 9, Position: model.StorePosition{Era: 2, Revision: 31}}, key: &key},
		"instances of an older copy of the store": {has: &directory.Directory{Version: 9, Position: model.StorePosition{Era: 1, Revision: 40}}, key: &key, entries: true},
		"instances of a later copy of the store":  {has: &directory.Directory{Version: 9, Position: model.StorePosition{Era: 3, Revision: 20}}, key: &key},
		"another key":                             {has: &directory.Directory{}, key: &other, fails: true},
		"no key":                                  {has: &directory.Directory{}, fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := fullDirectory()
			server := startNode(t, &key, d)
			client := startNode(t, test.key, test.has)
			var update *controller.DirectoryUpdate
			var err error
			for range 100 { // until the server listens
				if update, _, err = client.Fetch(context.Background(), "h1", server.Address); err == nil || test.fails {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if test.fails {
				if err == nil {
					t.Error("got an update, want an error")
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if got := update.Configuration != nil; got != test.kinds {
				t.Errorf("got a configuration: %v, want %v", got, test.kinds)
			}
			if got := len(update.Entries) == 1; got != test.entries || got != update.Full {
				t.Errorf("got %d entries, full %v, want them: %v", len(update.Entries), update.Full, test.entries)
			}
			if test.kinds && update.Configuration.Kinds[0] != d.Kinds["desk"] {
				t.Errorf("got %+v, want %+v", update.Configuration.Kinds[0], d.Kinds["desk"])
			}
			if test.entries && update.Entries[0].Instance != d.Instances["i1"] {
				t.Errorf("got %+v, want %+v", update.Entries[0].Instance, d.Instances["i1"])
			}
		})
	}
}

// TestMembership checks what of the hosts' rows a host passes on to another one.
func TestMembership(t *testing.T) {
	known := &controller.Membership{
		Position: model.StorePosition{Revision: 12},
		Hosts:    []controller.Host{{ID: "h1", Address: "127.0.0.1:7", DataCentre: "east", Incarnation: 17}},
		Promotions: []controller.Promotion{{
			Database: "seats", Nonce: "n", Position: model.StorePosition{Revision: 11}, Promotion: failover.Promotion{Instance: "i1", Token: 6, Holder: "h1"},
		}},
	}
	tests := map[string]struct {
		query meshapi.Ask
		has   *controller.Membership
		want  *controller.MembershipUpdate
	}{
		"older rows": {
			query: meshapi.Ask{Rows: meshapi.NewOptUint64(11)}, has: known,
			want: &controller.MembershipUpdate{Full: true, Position: model.StorePosition{Revision: 12}, Hosts: known.Hosts, Promotions: known.Promotions},
		},
		"up to date":                        {query: meshapi.Ask{Rows: meshapi.NewOptUint64(12)}, has: known},
		"asked by a host that reads them":   {has: known},
		"asked of a host that doesn't know": {query: meshapi.Ask{Rows: meshapi.NewOptUint64(11)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			message, err := encodeDirectory(&testKey, &test.query, fullDirectory(), test.has)
			if err != nil {
				t.Fatal(err)
			}
			body, err := message.MarshalJSON()
			if err != nil {
				t.Fatal(err)
			}
			var received meshapi.Directory
			if err := received.UnmarshalJSON(body); err != nil {
				t.Fatal(err)
			}
			if got := decodeMembership(0, &received); !reflect.DeepEqual(got, test.want) {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// TestFetchedInstanceThatLeft checks that a host which learns of instances from another host stops using one whose entry has
// disappeared there.
func TestFetchedInstanceThatLeft(t *testing.T) {
	tests := map[string]struct {
		knows []directory.Entry // what the fetching host has read before
		want  int               // instances that it uses after the grace period
	}{
		"the host has just started": {want: 1},
		"the host knew the instance": {knows: []directory.Entry{
			{Instance: directory.Instance{Instance: model.Instance{ID: "i1", Database: "seats"}, Position: model.StorePosition{Revision: 30}}},
			{Instance: directory.Instance{Instance: model.Instance{ID: "i2", Database: "seats"}, Position: model.StorePosition{Revision: 29}}},
		}, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			peer, own := directory.NewTracker(), directory.NewTracker()
			peer.Grace, own.Grace = time.Second, time.Second
			peer.Replace(now, model.StorePosition{Era: 2, Revision: 30}, []directory.Entry{
				{Instance: fullDirectory().Instances["i1"]},
				{Instance: directory.Instance{Instance: model.Instance{ID: "i2", Database: "seats", Address: "127.0.0.1:2", DataCentre: "east"}, Slots: 2, Role: model.RolePrimary, Position: model.StorePosition{Era: 2, Revision: 29}}},
			})
			peer.Apply(now, model.StorePosition{Era: 2, Revision: 31}, []directory.Entry{{Instance: directory.Instance{Instance: model.Instance{ID: "i2"}, Position: model.StorePosition{Era: 2, Revision: 31}}, Removed: true}})
			if len(test.knows) > 0 {
				own.Replace(now, model.StorePosition{Revision: 30}, test.knows)
			}
			message, err := encodeDirectory(&testKey, &meshapi.Ask{Revision: uint64(own.Directory().Position.Revision)}, peer.Directory(), nil)
			if err != nil {
				t.Fatal(err)
			}
			update, err := decodeDirectory(&testKey, "host h1", nil, 0, &message)
			if err != nil {
				t.Fatal(err)
			}
			own.Replace(now, update.Position, update.Entries)
			own.Expire(now.Add(time.Second))
			if got := len(own.Directory().Instances); got != test.want || own.Missing("i1") {
				t.Errorf("got %v, want %d instances without the one that left", own.Directory().Instances, test.want)
			}
		})
	}
}

// testKey is the shared key of the hosts in tests without a network.
var testKey = NewKey()

// FuzzDecodeDirectory reads answers of other hosts: whatever they hold, a full list of instances or hosts comes with its revision.
func FuzzDecodeDirectory(f *testing.F) {
	message, err := encodeDirectory(&testKey, &meshapi.Ask{Rows: meshapi.NewOptUint64(1)}, fullDirectory(), &controller.Membership{
		Position: model.StorePosition{Revision: 12}, Hosts: []controller.Host{{ID: "h1", Address: "127.0.0.1:7", DataCentre: "east", Incarnation: 17}},
	})
	if err != nil {
		f.Fatal(err)
	}
	body, err := message.MarshalJSON()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte(`{"nonce":"n","version":1,"revision":1,"idle":-1,"rows":18446744073709551615,"instances":[{"name":"","slots":-9}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var message meshapi.Directory
		if message.UnmarshalJSON(body) != nil {
			return
		}
		update, err := decodeDirectory(&testKey, "host h1", nil, 0, &message)
		if err == nil && update.Full != (len(update.Entries) > 0) {
			t.Errorf("got %+v, want a full list only with instances", update)
		}
		if membership := decodeMembership(0, &message); membership != nil && !membership.Full {
			t.Errorf("got %+v, want a full list", membership)
		}
	})
}

func FuzzDecodeHeartbeat(f *testing.F) {
	key := NewKey()
	datagram, err := EncodeHeartbeat(&key, now, fullHeartbeat())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(datagram[MACSize:])
	packed, err := new(Packer).Pack(datagram[MACSize:])
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Fuzz(func(t *testing.T, body []byte) {
		if _, err := DecodeHeartbeat(&key, now, body); err == nil {
			t.Errorf("got a heartbeat of %q without a MAC, want an error", body)
		}
		sealed := append(key.computeMAC(purposeHeartbeat, body), body...)
		if heartbeat, err := DecodeHeartbeat(&key, now, sealed); err == nil && heartbeat.Primaries == nil {
			t.Error("got a heartbeat without primaries, want an empty map")
		}
	})
}

// fullQuestion returns a question with a number of parts, and its answer.
func fullQuestion(parts int) (allowance.Question, allowance.Answer) {
	q := allowance.Question{From: "h1", Incarnation: 17, Sequence: 21}
	a := allowance.Answer{From: "h2", Sequence: 21}
	for i := range parts {
		tenant := model.TenantID(fmt.Sprint("tenant-", i))
		q.Parts = append(q.Parts, allowance.Ask{Tenant: tenant, Rank: model.RankTwo, Count: 4 + i, Waiting: i})
		a.Parts = append(a.Parts, allowance.Grant{Tenant: tenant, Rank: model.RankTwo, Granted: i, Next: time.Duration(i) * time.Millisecond})
	}
	return q, a
}

// TestTokens guards against questions and answers that change on their way, and against hosts that need the new handlers.
func TestTokens(t *testing.T) {
	key, other := NewKey(), NewKey()
	tests := map[string]struct {
		parts    int
		key      *Key
		handlers bool
		arrives  bool
	}{
		"plain":            {parts: 1, key: &key, handlers: true, arrives: true},
		"packed":           {parts: 14, key: &key, handlers: true, arrives: true},
		"without handlers": {parts: 1, key: &key},
		"another key":      {parts: 1, key: &other, handlers: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			questions, answers := make(chan allowance.Question, 100), make(chan allowance.Answer, 100)
			heartbeats := make(chan controller.Heartbeat, 100)
			receiver, sender := startNode(t, &key, nil, func(n *Node) {
				n.OnHeartbeat = func(h controller.Heartbeat, _ model.Address) { heartbeats <- h }
				if test.handlers {
					n.OnQuestion = func(q allowance.Question, _ model.Address) { questions <- q }
					n.OnAnswer = func(a allowance.Answer) { answers <- a }
				}
			}), startNode(t, test.key, nil)
			mark := startNode(t, &key, nil) // its heartbeats arrive after the messages
			question, answer := fullQuestion(test.parts)
			for range 100 { // until the sockets are open
				err := errors.Join(
					sender.SendQuestion(receiver.Address, question),
					sender.SendAnswer(receiver.Address, answer),
					mark.SendHeartbeat([]controller.Receiver{{Address: receiver.Address}}, fullHeartbeat()),
				)
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(5 * time.Millisecond)
				if len(heartbeats) > 3 && (!test.arrives || len(questions) > 0 && len(answers) > 0) {
					break
				}
			}
			if len(heartbeats) == 0 || (len(questions) > 0) != test.arrives || (len(answers) > 0) != test.arrives {
				t.Fatalf("got %d heartbeats, %d questions and %d answers, want the last two: %v", len(heartbeats), len(questions), len(answers), test.arrives)
			}
			if !test.arrives {
				return
			}
			if got := <-questions; !reflect.DeepEqual(got, question) {
				t.Errorf("got %+v, want %+v", got, question)
			}
			if got := <-answers; !reflect.DeepEqual(got, answer) {
				t.Errorf("got %+v, want %+v", got, answer)
			}
		})
	}
}

// FuzzDecodeQuestion reads questions of other hosts: whatever they hold, no number is negative and each rank is known.
func FuzzDecodeQuestion(f *testing.F) {
	question, _ := fullQuestion(2)
	body, err := encodeQuestion(question).MarshalJSON()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte(`{"host":"","incarnation":1,"sequence":18446744073709551615,"asks":[{"tenant":"","rank":258,"count":-4,"waiting":-1}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		q, err := decodeQuestion(body)
		for _, got := range q.Parts {
			if err != nil || !got.Rank.Valid() || got.Count < 0 || got.Waiting < 0 {
				t.Errorf("got %+v, %v, want numbers in their ranges", got, err)
			}
		}
	})
}

// FuzzDecodeAnswer reads answers of other hosts: whatever they hold, no number is negative and each rank is known.
func FuzzDecodeAnswer(f *testing.F) {
	_, answer := fullQuestion(2)
	body, err := encodeAnswer(answer).MarshalJSON()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte(`{"host":"","sequence":1,"grants":[{"tenant":"","rank":-1,"granted":-4,"next":9223372036854775807}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := decodeAnswer(body)
		for _, got := range a.Parts {
			if err != nil || !got.Rank.Valid() || got.Granted < 0 || got.Next < 0 || got.Next > maxNext {
				t.Errorf("got %+v, %v, want numbers in their ranges", got, err)
			}
		}
	})
}
