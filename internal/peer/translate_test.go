package peer

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"redwingspread/internal/fleet"
	"redwingspread/internal/member"
	"redwingspread/internal/model"
	"redwingspread/internal/view"
	"redwingspread/pkg/api/peerapi"
)

func TestWorkRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	age := model.Age(3 * time.Second)
	tests := map[string]model.Work{
		"write": {
			Origin: "host-1", Request: "r-1", Database: "seats", Session: "s-1",
			Statement: model.Statement{Kind: "payment", Access: model.Write, Operation: "pay", Arguments: map[string]string{"cents": "100"}},
			Deadline:  now.Add(2 * time.Second),
		},
		"read with a token": {
			Origin: "host-1", Request: "r-2", Database: "seats",
			Statement: model.Statement{Kind: "roster", Access: model.Read, Operation: "roster"},
			MinPoint:  model.Point{Term: 3, Position: 17}, TokenComplete: true, MaxAge: &age,
			Deadline: now.Add(time.Second),
		},
		"statement of a transaction": {
			Request: "r-3", Database: "seats", Transaction: "seats/host-2/r-0",
			Statement: model.Statement{Kind: "payment", Access: model.Write, Operation: "pay"},
			Deadline:  now.Add(time.Second),
		},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			got := decodeWork(encodeWork(want, now), now)
			if len(got.Statement.Arguments) == 0 {
				got.Statement.Arguments = want.Statement.Arguments
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

func TestResultRoundTrip(t *testing.T) {
	tests := map[string]model.Result{
		"done write": {
			Request: "r-1", Succeeded: true, Rows: []model.Row{{"status": "registered"}}, Point: model.Point{Term: 2, Position: 9},
			Instance: "seats-a", Role: model.RolePrimary, Durability: model.DurabilityReplica, Term: 2, Primary: "seats-a",
		},
		"failed and repeated": {Request: "r-2", FailureReason: "no seat", Rows: []model.Row{}, Repeated: true, Role: model.RoleReplica},
		"replica state": {
			Request: "r-3", Succeeded: true, Rows: []model.Row{},
			Replicas: []model.ReplicaState{{Instance: "seats-b", Term: 2, Point: model.Point{Term: 2, Position: 8}, Age: model.Age(time.Second), Leaving: true}},
		},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			if got := decodeResult(encodeResult(want)); !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

func TestRefusalRoundTrip(t *testing.T) {
	tests := map[string]struct {
		err  error
		want model.Refusal
	}{
		"not the owner": {
			err:  &model.Refusal{Code: model.CodeNotOwner, NotRun: true, Message: "m", Owner: "host-2", Term: 4},
			want: model.Refusal{Code: model.CodeNotOwner, NotRun: true, Message: "m", Owner: "host-2", Term: 4},
		},
		"overloaded": {
			err:  &model.Refusal{Code: model.CodeOverloaded, NotRun: true, Message: "m", RetryAfter: time.Second},
			want: model.Refusal{Code: model.CodeOverloaded, NotRun: true, Message: "m", RetryAfter: time.Second},
		},
		"code outside the peer API": {
			err:  model.Refuse(model.CodeWrongTerm, "m"),
			want: model.Refusal{Code: model.CodeUnavailable, NotRun: true, Message: "m"},
		},
		"untyped error": {
			err:  errors.New("m"),
			want: model.Refusal{Code: model.CodeInternal, Message: "m"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got *model.Refusal
			if err := decodeError(encodeRefusal(test.err)); !errors.As(err, &got) {
				t.Fatalf("got %v, want a refusal", err)
			}
			if !reflect.DeepEqual(*got, test.want) {
				t.Errorf("got %+v, want %+v", *got, test.want)
			}
		})
	}
}

func TestHeartbeatRoundTrip(t *testing.T) {
	tests := map[string]fleet.Heartbeat{
		"no updates": {From: "host-1", Address: "127.0.0.1:7001", Incarnation: 7, Sequence: 3, Configuration: 2},
		"leaving":    {From: "host-1", Leaving: true},
		"all updates": {
			From:      "host-1",
			Members:   []member.Update{{Host: "host-2", Incarnation: 4, Sequence: 9, State: view.Suspect}},
			Owners:    []fleet.OwnerUpdate{{Database: "seats", Owner: "host-2", Term: 5, Primary: "seats-b"}},
			Instances: []fleet.InstanceUpdate{{Instance: "seats-a", Term: 5, Reachable: true, Asked: true}},
		},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			if got := decodeHeartbeat(EncodeHeartbeat(want)); !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

func TestDecodeCallError(t *testing.T) {
	tests := map[string]struct {
		err        error
		wantNotRun bool
	}{
		"dial failed": {err: &dialError{cause: errors.New("no route")}, wantNotRun: true},
		"no answer":   {err: errors.New("stream reset"), wantNotRun: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got *model.Refusal
			if err := decodeCallError(test.err); !errors.As(err, &got) || got.NotRun != test.wantNotRun {
				t.Errorf("got %+v, want not run %v", got, test.wantNotRun)
			}
		})
	}
}

func FuzzHeartbeat(f *testing.F) {
	f.Add([]byte(`{"from":"host-1","incarnation":7,"sequence":3,"configuration":2}`))
	f.Add([]byte(`{"from":"host-1","address":"127.0.0.1:1","incarnation":7,"sequence":3,"configuration":2,"members":[{"host":"h","incarnation":1,"sequence":2,"state":"alive"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var message peerapi.Heartbeat
		if message.UnmarshalJSON(text) != nil || message.Validate() != nil {
			return
		}
		heartbeat := decodeHeartbeat(&message)
		if got := decodeHeartbeat(EncodeHeartbeat(heartbeat)); !reflect.DeepEqual(got, heartbeat) {
			t.Errorf("got %+v, want %+v", got, heartbeat)
		}
	})
}
