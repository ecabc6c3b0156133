package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// documentWithExceptions returns the default document with exceptions whose scopes have one, two and three fields.
func documentWithExceptions() Document {
	document := Default()
	document.Exceptions = []Exception{
		exception(func(e *Exception) { e.Name, e.Value = "database", "1000" }),
		exception(func(e *Exception) { e.Name, e.Kind, e.Value = "kind-at-database", "payment", "2000" }),
		exception(func(e *Exception) {
			e.Name, e.Kind, e.Region, e.Value = "kind-at-database-in-region", "payment", "coastal", "3000"
		}),
		exception(func(e *Exception) {
			e.Name, e.Database, e.Rank, e.Setting, e.Value = "rank", "", 2, SettingQueueLimit, "7"
		}),
		exception(func(e *Exception) {
			e.Name, e.Database, e.Kind, e.DataCentre, e.Setting, e.Value = "fresh", "", "roster", "c1", SettingMaxAge, "none"
		}),
		exception(func(e *Exception) {
			e.Name, e.Database, e.Region, e.Setting, e.Value = "writes", "", "brazos", SettingDurability, "primary"
		}),
	}
	return document
}

func TestLookup(t *testing.T) {
	tests := map[string]struct {
		scope   Scope
		setting Setting
		want    string
	}{
		"default":                  {Scope{Database: "enrol-2", Kind: "payment"}, SettingDeadline, "5000"},
		"one field":                {Scope{Database: "enrol-1", Kind: "roster"}, SettingDeadline, "1000"},
		"two fields win":           {Scope{Database: "enrol-1", Kind: "payment"}, SettingDeadline, "2000"},
		"three fields win":         {Scope{Database: "enrol-1", Kind: "payment", Region: "coastal"}, SettingDeadline, "3000"},
		"another region":           {Scope{Database: "enrol-1", Kind: "payment", Region: "brazos"}, SettingDeadline, "2000"},
		"rank":                     {Scope{Database: "enrol-9", Kind: "counter"}, SettingQueueLimit, "7"},
		"another rank":             {Scope{Database: "enrol-9", Kind: "report"}, SettingQueueLimit, "512"},
		"max age removed":          {Scope{Database: "enrol-1", Kind: "roster", DataCentre: "c1"}, SettingMaxAge, "none"},
		"max age elsewhere":        {Scope{Database: "enrol-1", Kind: "roster", DataCentre: "c2"}, SettingMaxAge, "10000"},
		"durability of a write":    {Scope{Kind: "payment", Region: "brazos"}, SettingDurability, "primary"},
		"durability skips reads":   {Scope{Kind: "roster", Region: "brazos"}, SettingDurability, "none"},
		"other setting unaffected": {Scope{Database: "enrol-1", Kind: "counter"}, SettingQueueLimit, "7"},
		"kind without exceptions":  {Scope{Database: "enrol-1", Kind: "inventory"}, SettingFloor, "30"},
	}
	policy, err := Compile(3, documentWithExceptions())
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			effective, found := policy.Lookup(test.scope)
			if got := effective.Text(test.setting); !found || got != test.want {
				t.Errorf("got %s (found %v), want %s", got, found, test.want)
			}
			settings, _ := documentWithExceptions().Explain(test.scope)
			for _, resolved := range settings {
				if resolved.Setting == test.setting && resolved.Value != test.want {
					t.Errorf("got %s explained, want %s", resolved.Value, test.want)
				}
			}
		})
	}
	if _, found := policy.Lookup(Scope{Kind: "dancing"}); found {
		t.Error("got settings for an unknown kind, want none")
	}
}

func TestExplain(t *testing.T) {
	settings, found := documentWithExceptions().Explain(Scope{Database: "enrol-1", Kind: "payment", Region: "coastal"})
	if !found {
		t.Fatal("got no explanation, want one")
	}
	deadline := settings[0]
	if deadline.Source != SourceException || deadline.Exception.Name != "kind-at-database-in-region" {
		t.Errorf("got %+v, want the most specific exception", deadline)
	}
	if got := fmt.Sprintf("%d %s %s", len(deadline.Overridden), deadline.Overridden[0].Name, deadline.Overridden[1].Name); got != "2 database kind-at-database" {
		t.Errorf("got overridden exceptions %s, want both less specific ones", got)
	}
	if got := settings[4].Source; got != SourceKind {
		t.Errorf("got source %s of the rank, want %s", got, SourceKind)
	}
	if _, found := Default().Explain(Scope{Kind: "dancing"}); found {
		t.Error("got an explanation of an unknown kind, want none")
	}
}

func TestDiff(t *testing.T) {
	after := documentWithExceptions()
	after.Defaults.QueueLimit = 100
	after.Kinds = after.Kinds[1:]
	differences := map[string]Difference{}
	for _, difference := range Diff(Default(), after) {
		differences[difference.Path] = difference
	}
	if got := len(differences); got != 8 {
		t.Errorf("got %d differences, want the defaults, a kind and six exceptions: %v", got, differences)
	}
	if got := differences["kinds.registration"]; got.Old == "" || got.New != "" {
		t.Errorf("got %+v, want a removed kind", got)
	}
	if got := Diff(after, after); got != nil {
		t.Errorf("got %v, want no difference", got)
	}
	want := Effect{Scope: Scope{Database: "enrol-1", Kind: "payment", Region: "coastal"}, Setting: SettingDeadline, Old: "5000", New: "3000"}
	found := false
	for _, effect := range Effects(Default(), after) {
		found = found || effect == want
	}
	if !found {
		t.Errorf("got no effect %+v", want)
	}
}

func TestEncode(t *testing.T) {
	tests := map[string]struct {
		text string
		want string // part of the error, or empty
	}{
		"default":       {text: encoded(t, Default())},
		"exceptions":    {text: encoded(t, documentWithExceptions())},
		"no lists":      {text: encoded(t, Document{Defaults: Default().Defaults})},
		"host in scope": {text: `{"exceptions":[{"name":"x","host":"h1"}]}`, want: `unknown field "host"`},
		"unknown field": {text: `{"defaults":{"dedline":3}}`, want: `unknown field "dedline"`},
		"two documents": {text: `{} {}`, want: "after the document"},
		"wrong type":    {text: `{"kinds":[{"rank":"one"}]}`, want: "kinds.rank"},
		"truncated":     {text: `{"kinds":[`, want: "EOF"},
		"empty":         {text: "", want: "EOF"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			document, err := Decode(test.text)
			if !matchesError(err, test.want) {
				t.Fatalf("got %v, want %q", err, test.want)
			}
			if err == nil && encoded(t, document) != test.text {
				t.Errorf("got %s, want %s", encoded(t, document), test.text)
			}
		})
	}
}

func TestSet(t *testing.T) {
	tests := map[string]struct {
		path, value string
		want        string // what differs afterwards, or part of the error
	}{
		"default":             {"defaults.queueLimit", "99", `"queueLimit":99`},
		"list":                {"defaults.rankFloors", "[1,2,3]", `"rankFloors":[1,2,3]`},
		"number of a kind":    {"kinds.roster.maxAgeMs", "77", `"maxAgeMs":77`},
		"no age":              {"kinds.roster.maxAgeMs", "none", `"access":"read","repeatable"`},
		"text of a kind":      {"kinds.payment.durability", "primary", `"durability":"primary"`},
		"unknown default":     {"defaults.dedline", "1", "unknown field"},
		"unknown kind":        {"kinds.dancing.rank", "1", "allowed: one of registration"},
		"unknown section":     {"hosts.h1.queueLimit", "1", "allowed: defaults.SETTING"},
		"text for a number":   {"defaults.queueLimit", "many", "queueLimit"},
		"number out of range": {"kinds.payment.rank", "300", "300"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before := Default()
			after, err := before.Set(test.path, test.value)
			got := fmt.Sprint(err)
			if err == nil {
				got = fmt.Sprint(Diff(before, after))
			}
			if !strings.Contains(got, test.want) {
				t.Errorf("got %s, want %s in it", got, test.want)
			}
			if encoded(t, before) != encoded(t, Default()) {
				t.Error("got the first document changed, want it kept")
			}
		})
	}
}

// encoded returns the text of a document.
func encoded(t testing.TB, d Document) string {
	text, err := Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func FuzzDecode(f *testing.F) {
	f.Add(encoded(f, Default()))
	f.Add(encoded(f, documentWithExceptions()))
	f.Add(`{"kinds":[{"rank":255}],"exceptions":[{"setting":"floor","value":"-1"}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		document, err := Decode(text)
		if err != nil {
			return
		}
		again, err := Decode(encoded(t, document))
		if err != nil || encoded(t, again) != encoded(t, document) {
			t.Fatalf("got %v, want the same document again", err)
		}
		policy, err := Compile(1, document)
		if (err == nil) != (document.Check() == nil) {
			t.Fatalf("got %v from Compile, want the same verdict as Check", err)
		}
		if err != nil {
			return
		}
		for _, kind := range document.Kinds {
			if effective, found := policy.Lookup(Scope{Kind: kind.Name}); !found || !effective.Rank.Valid() {
				t.Fatalf("got %+v (%v), want settings for %s", effective, found, kind.Name)
			}
		}
	})
}

func BenchmarkLookup(b *testing.B) {
	policy, err := Compile(1, documentWithExceptions())
	if err != nil {
		b.Fatal(err)
	}
	scopes := map[string]Scope{
		"plain":      {Database: "enrol-2", Kind: "report", DataCentre: "c2", Region: "coastal"},
		"exceptions": {Database: "enrol-1", Kind: "payment", DataCentre: "c1", Region: "coastal"},
	}
	for name, scope := range scopes {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			var deadline time.Duration
			for b.Loop() {
				effective, _ := policy.Lookup(scope)
				deadline += effective.Deadline
			}
			_ = deadline
		})
	}
}

func BenchmarkCompile(b *testing.B) {
	document := Default()
	for i := range 300 {
		document.Exceptions = append(document.Exceptions, exception(func(e *Exception) {
			e.Name, e.Database = Name(fmt.Sprintf("e%d", i)), model.DatabaseID(fmt.Sprintf("enrol-%d", i))
		}))
	}
	for b.Loop() {
		if _, err := Compile(1, document); err != nil {
			b.Fatal(err)
		}
	}
}
