package relay

import (
	"reflect"
	"testing"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/statement"
)

// calls are calls of each form.
var calls = map[string]Call{
	"first of a transaction": {
		Session: 7, Opening: &Opening{Kind: "desk", Tenant: "acme", Transaction: true, ReadOnly: true, LastCommit: model.Point{Term: 3, Position: 1 << 60}},
		Request:  statement.Request{ID: "r1", Statement: statement.Statement{Verb: statement.Execute, Name: "find", Text: "a \"b\"\n\\"}},
		Prepared: statement.Prepared{Access: model.Read, Text: "READ ?"}, Values: map[string]string{"zone": "UTC"},
		StartIn: 250 * time.Millisecond, Left: 2 * time.Second,
	},
	"values removed":        {Session: 1, Request: statement.Request{ID: "r"}, Values: map[string]string{}},
	"values unchanged":      {Session: 1, Request: statement.Request{ID: "r"}, Last: true},
	"time is over":          {Session: 1, Request: statement.Request{ID: "r"}, StartIn: -time.Second, Left: -time.Minute},
	"text outside of UTF-8": {Session: 1, Request: statement.Request{ID: "\xfe", Statement: statement.Statement{Text: "a\xffb\x00", Name: "\xc3"}}, Values: map[string]string{"\xff": "\x80"}},
	"end":                   {Session: 9, End: true},
}

// TestCallsRoundTrip guards against a statement, value, limit or tenant that reaches the holder changed or not at all.
func TestCallsRoundTrip(t *testing.T) {
	for name, want := range calls {
		t.Run(name, func(t *testing.T) {
			body, err := encodeCall(&want)
			if err != nil {
				t.Fatal(err)
			}
			got, err := decodeCall(body)
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, %v, want %+v", got, err, want)
			}
		})
	}
}

// replies are replies of each form.
var replies = map[string]Reply{
	"rows": {
		Session: 7, Instance: "i1", Led: true,
		Response: statement.Response{Rows: [][]byte{[]byte("a"), []byte("")}, Signature: []byte("sig"), Text: "done", State: statement.Open, Point: model.Point{Term: 2, Position: 1 << 61}},
	},
	"failure of an instance": {Session: 7, Instance: "i1", Response: statement.Response{Code: model.CodeFailed, WireCode: "FAILED", Text: "no such key"}},
	"refusal": {Session: 7, Refusal: &model.Refusal{Code: model.CodeOverloaded, NotRun: true, Message: "full", RetryAfter: 30 * time.Millisecond},
		Response: statement.Response{State: statement.Failed}},
	"refusal as behind": {Session: 7, Refusal: &model.Refusal{Code: model.CodeBehind, NotRun: true},
		Replicas: []Replica{{Instance: "i2", Reached: model.Point{Term: 2, Position: 1 << 61}, Lag: 150 * time.Millisecond}, {Instance: "i3"}}},
	"unknown outcome":       {Session: 7, Refusal: model.OutcomeUnknown("lost")},
	"rows outside of UTF-8": {Session: 7, Response: statement.Response{Rows: [][]byte{{0xff, 0, 'a', 0xc3}}, Signature: []byte{0x80}, Text: "\xfe"}},
}

// TestRepliesRoundTrip guards against rows, codes or promises that reach the caller changed.
func TestRepliesRoundTrip(t *testing.T) {
	for name, want := range replies {
		t.Run(name, func(t *testing.T) {
			body, err := encodeReply(&want)
			if err != nil {
				t.Fatal(err)
			}
			got, err := decodeReply(body)
			if err != nil {
				t.Fatal(err)
			}
			if want.Refusal != nil {
				got.Response, want.Response = statement.Response{State: got.Response.State}, statement.Response{State: want.Response.State}
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

// TestRepliesOfOtherReleases guards against a reply that hosts of the previous or the next release can't read.
func TestRepliesOfOtherReleases(t *testing.T) {
	point := model.Point{Term: 2, Position: 9}
	tests := map[string]struct {
		body string
		want Reply
	}{
		"previous, without replicas": {
			`{"session":7,"instance":"i1","state":0,"term":2,"position":9}`,
			Reply{Session: 7, Instance: "i1", Response: statement.Response{Point: point}},
		},
		"next, with more fields": {
			`{"session":7,"state":0,"later":{"a":[1]},"replicas":[{"instance":"i2","term":2,"position":9,"lag":150,"later":"x"}]}`,
			Reply{Session: 7, Replicas: []Replica{{Instance: "i2", Reached: point, Lag: 150 * time.Millisecond}}},
		},
		"next, with a lag below zero": {
			`{"session":7,"replicas":[{"instance":"i2","lag":-5}]}`,
			Reply{Session: 7, Replicas: []Replica{{Instance: "i2"}}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got, err := decodeReply([]byte(test.body)); err != nil || !reflect.DeepEqual(got, test.want) {
				t.Errorf("got %+v, %v, want %+v", got, err, test.want)
			}
		})
	}
}

// FuzzDecodeCall guards against a message of another host that makes this one panic or that changes when it is passed on.
func FuzzDecodeCall(f *testing.F) {
	for _, call := range calls {
		body, err := encodeCall(&call)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Add([]byte(`{"session":1,"verb":-9,"start":-9223372036854775808,"left":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		call, err := decodeCall(body)
		if err != nil {
			return
		}
		if _, err := encodeCall(&call); err != nil {
			t.Errorf("got %v, want a decoded call to be encodable", err)
		}
	})
}

// FuzzDecodeReply guards against a message of another host that makes this one panic.
func FuzzDecodeReply(f *testing.F) {
	for _, reply := range replies {
		body, err := encodeReply(&reply)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		reply, err := decodeReply(body)
		if err != nil {
			return
		}
		if _, err := encodeReply(&reply); err != nil {
			t.Errorf("got %v, want a decoded reply to be encodable", err)
		}
	})
}
