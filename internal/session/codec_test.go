package session

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"redwingspread/internal/model"
)

var (
	firstKey  = []byte("first key of sixteen")
	secondKey = []byte("second key of sixteen")
)

// sampleToken returns a token with entries of two databases and one pending write.
func sampleToken() Token {
	return New("s-1").
		RaisePoint("seats", model.Point{Term: 3, Position: 41}).
		RaisePoint("fees", model.Point{Term: 9, Position: 1 << 40}).
		SetPending("fees", "pay-7")
}

// encode returns the signed text of the token.
func encode(t *testing.T, codec *Codec, token Token) string {
	t.Helper()
	text, err := codec.Encode(token)
	if err != nil {
		t.Fatalf("Encode: got error %v, want none", err)
	}
	return text
}

func TestCodecRoundTrip(t *testing.T) {
	tests := map[string]struct {
		writer, reader Codec
		token          Token
	}{
		"no entries":                    {writer: Codec{Key: firstKey}, reader: Codec{Key: firstKey}, token: New("s-0")},
		"two databases":                 {writer: Codec{Key: firstKey}, reader: Codec{Key: firstKey}, token: sampleToken()},
		"key was rotated":               {writer: Codec{Key: firstKey}, reader: Codec{Key: secondKey, OldKey: firstKey}, token: sampleToken()},
		"writer signs with the old key": {writer: Codec{Key: firstKey, OldKey: secondKey}, reader: Codec{Key: secondKey, OldKey: firstKey}, token: sampleToken()},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := test.reader.Decode(encode(t, &test.writer, test.token))
			if err != nil {
				t.Fatalf("Decode: got error %v, want none", err)
			}
			if !reflect.DeepEqual(got, test.token) {
				t.Errorf("got token %+v, want %+v", got, test.token)
			}
		})
	}
}

// sign returns the encoded payload with its MAC under the key.
func sign(key, payload []byte) string {
	return encoding.EncodeToString(append(payload, computeMAC(key, payload)...))
}

func TestDecodeRefuses(t *testing.T) {
	codec := Codec{Key: firstKey}
	good := encode(t, &codec, sampleToken())
	tests := map[string]struct {
		codec Codec
		text  string
	}{
		"empty":               {codec: codec, text: ""},
		"not base64":          {codec: codec, text: "this is no token!"},
		"MAC only":            {codec: codec, text: encoding.EncodeToString(make([]byte, macBytes))},
		"truncated":           {codec: codec, text: good[:len(good)-4]},
		"character changed":   {codec: codec, text: strings.Replace(good, good[10:11], "_", 1)},
		"other key":           {codec: Codec{Key: secondKey}, text: good},
		"retired key":         {codec: Codec{Key: secondKey, OldKey: []byte("third key of sixteen")}, text: good},
		"signed with no key":  {codec: codec, text: sign(nil, appendToken(nil, sampleToken()))},
		"reader has no key":   {codec: Codec{}, text: sign(nil, appendToken(nil, sampleToken()))},
		"newer version":       {codec: codec, text: sign(firstKey, []byte{formatVersion + 1, 0, 0, 0})},
		"trailing bytes":      {codec: codec, text: sign(firstKey, append(appendToken(nil, sampleToken()), 0))},
		"missing entries":     {codec: codec, text: sign(firstKey, []byte{formatVersion, 0, 0, 9})},
		"text length too big": {codec: codec, text: sign(firstKey, []byte{formatVersion, 0, 0xff, 0xff, 0xff, 0xff, 0x0f})},
		"version only":        {codec: codec, text: sign(firstKey, []byte{formatVersion})},
		"too long":            {codec: codec, text: strings.Repeat("A", MaxEncoded+1)},
		"line feed inside":    {codec: codec, text: good[:10] + "\n" + good[10:]},
		"return at the end":   {codec: codec, text: good + "\r"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := test.codec.Decode(test.text)
			var refusal *model.Refusal
			if !errors.As(err, &refusal) || refusal.Code != model.CodeBadToken || !refusal.NotRun {
				t.Errorf("got error %v, want a refusal with %s that did not run", err, model.CodeBadToken)
			}
		})
	}
}

// largeToken returns a token with entries of many databases, optionally each with a pending write.
func largeToken(databases int, pending bool) Token {
	token := New("s-2")
	for i := range databases {
		id := model.DatabaseID(fmt.Sprintf("database-%03d", i))
		token = token.RaisePoint(id, model.Point{Term: 1, Position: model.Position(i + 1)})
		if pending {
			token = token.SetPending(id, "request-with-a-name-of-forty-characters-")
		}
	}
	return token
}

func TestEncodeDropsOldestEntries(t *testing.T) {
	codec := Codec{Key: firstKey}
	const databases = 500
	text := encode(t, &codec, largeToken(databases, false).SetPending("database-000", "pay-1"))
	if got, want := len(text), MaxEncoded; got > want {
		t.Errorf("got %d characters, want at most %d", got, want)
	}
	token, err := codec.Decode(text)
	if err != nil {
		t.Fatalf("got error %v, want none", err)
	}
	if got, want := token.Pending("database-000"), model.RequestID("pay-1"); got != want {
		t.Errorf("got pending write %q after eviction, want %q", got, want)
	}
	if got, want := token.Point("database-499"), (model.Point{Term: 1, Position: databases}); got != want {
		t.Errorf("got newest point %v, want %v", got, want)
	}
	if token.Complete("database-001") {
		t.Errorf("got a complete token for a dropped database, want an incomplete one")
	}
}

func TestEncodeRefuses(t *testing.T) {
	tests := map[string]struct {
		codec Codec
		token Token
		want  model.Code
	}{
		"no key":                      {token: New("s"), want: model.CodeInternal},
		"session id too long":         {codec: Codec{Key: firstKey}, token: New(model.SessionID(strings.Repeat("s", maxNameBytes+1))), want: model.CodeInvalid},
		"too many pending writes":     {codec: Codec{Key: firstKey}, token: largeToken(200, true), want: model.CodeTooLarge},
		"pending write's id too long": {codec: Codec{Key: firstKey}, token: New("s").SetPending("d", model.RequestID(strings.Repeat("r", maxNameBytes+1))), want: model.CodeInvalid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := test.codec.Encode(test.token)
			var refusal *model.Refusal
			if !errors.As(err, &refusal) || refusal.Code != test.want {
				t.Errorf("got error %v, want a refusal with %s", err, test.want)
			}
		})
	}
}

func TestRaisePointNeverLowers(t *testing.T) {
	token := New("s").RaisePoint("seats", model.Point{Term: 2, Position: 10})
	tests := map[string]struct {
		raise, want model.Point
	}{
		"later position": {raise: model.Point{Term: 2, Position: 11}, want: model.Point{Term: 2, Position: 11}},
		"later term":     {raise: model.Point{Term: 3, Position: 5}, want: model.Point{Term: 3, Position: 5}},
		"earlier":        {raise: model.Point{Term: 2, Position: 9}, want: model.Point{Term: 2, Position: 10}},
		"older term":     {raise: model.Point{Term: 1, Position: 99}, want: model.Point{Term: 2, Position: 10}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := token.RaisePoint("seats", test.raise).Point("seats"); got != test.want {
				t.Errorf("got point %v, want %v", got, test.want)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	codec := Codec{Key: firstKey}
	for _, token := range []Token{New(""), sampleToken(), largeToken(20, true)} {
		text, err := codec.Encode(token)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text, appendToken(nil, token))
	}
	f.Fuzz(func(t *testing.T, text string, payload []byte) {
		if token, err := codec.Decode(text); err == nil {
			if got := encode(t, &codec, token); got != text && len(text) > 0 {
				t.Errorf("got %q after decoding and encoding %q, want the same text", got, text)
			}
		}
		token, err := codec.Decode(sign(firstKey, payload))
		if err != nil {
			return
		}
		again, err := codec.Decode(encode(t, &codec, token))
		if err != nil || !reflect.DeepEqual(again, token) {
			t.Errorf("got token %+v and error %v after encoding and decoding again, want %+v", again, err, token)
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	codec := Codec{Key: firstKey}
	token := sampleToken()
	for b.Loop() {
		if _, err := codec.Encode(token); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	codec := Codec{Key: firstKey}
	text, err := codec.Encode(sampleToken())
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := codec.Decode(text); err != nil {
			b.Fatal(err)
		}
	}
}
