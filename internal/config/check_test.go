package config

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"redwingspread/internal/model"
)

// exception returns a valid exception with the change applied.
func exception(change func(e *Exception)) Exception {
	e := Exception{
		Name: "spring-roster", Database: "enrol-1", Setting: SettingDeadline, Value: "9000",
		Reason: "Roster export of the coastal district takes longer.", Author: "Dana", Date: "2026-03-02",
	}
	change(&e)
	return e
}

// token returns a valid token with the change applied.
func token(change func(t *Token)) Token {
	t := Token{
		Name: "counter-app", Role: RoleCaller, Hash: strings.Repeat("ab", 32),
		Reason: "Counter application.", Author: "Dana", Date: "2026-03-02",
	}
	change(&t)
	return t
}

func TestCheck(t *testing.T) {
	tests := map[string]struct {
		change func(d *Document)
		want   []string // paths of the problems
	}{
		"default": {change: func(*Document) {}},
		"valid exception and token": {change: func(d *Document) {
			d.Exceptions = []Exception{exception(func(*Exception) {})}
			d.Tokens = []Token{token(func(*Token) {})}
		}},
		"empty document": {
			change: func(d *Document) { *d = Document{} },
			want: []string{"defaults.deadlineMs", "defaults.transactionIdleMs", "defaults.transactionLimitMs",
				"defaults.queueLimit", "defaults.rankFloors", "kinds"},
		},
		"every default invalid": {
			change: func(d *Document) {
				d.Defaults = Defaults{Deadline: -1, QueueLimit: 100_001, TransactionIdle: 20, TransactionLimit: 10, RankFloors: []model.Percent{90, 20, -5}}
			},
			want: []string{"defaults.deadlineMs", "defaults.queueLimit", "defaults.transactionIdleMs", "defaults.rankFloors[2]", "defaults.rankFloors"},
		},
		"duplicate kind":        {change: func(d *Document) { d.Kinds = append(d.Kinds, d.Kinds[0]) }, want: []string{"kinds[12].name"}},
		"kind with rank four":   {change: func(d *Document) { d.Kinds[0].Rank = 4 }, want: []string{"kinds[0].rank"}},
		"kind with bad access":  {change: func(d *Document) { d.Kinds[0].Access = "both" }, want: []string{"kinds[0].access"}},
		"write with max age":    {change: func(d *Document) { d.Kinds[0] = d.Kinds[0].withMaxAge(5) }, want: []string{"kinds[0].maxAgeMs"}},
		"read with durability":  {change: func(d *Document) { d.Kinds[6].Durability = "replica" }, want: []string{"kinds[6].durability"}},
		"floors above 100":      {change: func(d *Document) { d.Kinds[0].Floor = 90 }, want: []string{"kinds"}},
		"no reason":             exceptionCase(func(e *Exception) { e.Reason = "" }, "reason"),
		"blank reason":          exceptionCase(func(e *Exception) { e.Reason = " \t\n" }, "reason"),
		"no author":             exceptionCase(func(e *Exception) { e.Author = "" }, "author"),
		"no date":               exceptionCase(func(e *Exception) { e.Date = "" }, "date"),
		"nonexistent date":      exceptionCase(func(e *Exception) { e.Date = "2026-02-30" }, "date"),
		"review before date":    exceptionCase(func(e *Exception) { e.Review = "2026-01-01" }, "review"),
		"bad review":            exceptionCase(func(e *Exception) { e.Review = "spring" }, "review"),
		"empty scope":           exceptionCase(func(e *Exception) { e.Database = "" }, ""),
		"bad name":              exceptionCase(func(e *Exception) { e.Name = "a b" }, "name"),
		"bad database":          exceptionCase(func(e *Exception) { e.Database = "../x" }, "database"),
		"unknown kind":          exceptionCase(func(e *Exception) { e.Kind = "dancing" }, "kind"),
		"rank of other kind":    exceptionCase(func(e *Exception) { e.Kind, e.Rank = "payment", 2 }, "rank"),
		"unknown rank":          exceptionCase(func(e *Exception) { e.Rank = 9 }, "rank"),
		"unknown setting":       exceptionCase(func(e *Exception) { e.Setting = "host" }, "setting"),
		"malformed value":       exceptionCase(func(e *Exception) { e.Value = "soon" }, "value"),
		"value too large":       exceptionCase(func(e *Exception) { e.Value = "600001" }, "value"),
		"max age for a write":   exceptionCase(func(e *Exception) { e.Kind, e.Setting, e.Value = "payment", SettingMaxAge, "10" }, "setting"),
		"durability for a read": exceptionCase(func(e *Exception) { e.Kind, e.Setting, e.Value = "roster", SettingDurability, "none" }, "setting"),
		"every field invalid": {
			change: func(d *Document) {
				d.Exceptions = []Exception{{Name: "x", Kind: "none", Setting: SettingRank, Value: "0"}}
			},
			want: []string{"exceptions[0].kind", "exceptions[0].value", "exceptions[0].reason", "exceptions[0].author", "exceptions[0].date"},
		},
		"duplicate name": {change: func(d *Document) {
			d.Exceptions = []Exception{exception(func(*Exception) {}), exception(func(e *Exception) { e.Database = "enrol-2" })}
		}, want: []string{"exceptions[1].name"}},
		"token with bad hash":  tokenCase(func(t *Token) { t.Hash = "secret" }, "hash"),
		"hash in upper case":   tokenCase(func(t *Token) { t.Hash = strings.Repeat("AB", 32) }, "hash"),
		"token with bad role":  tokenCase(func(t *Token) { t.Role = "root" }, "role"),
		"token without reason": tokenCase(func(t *Token) { t.Reason = "" }, "reason"),
		"duplicate hash": {change: func(d *Document) {
			d.Tokens = []Token{token(func(*Token) {}), token(func(t *Token) { t.Name = "other" })}
		}, want: []string{"tokens[1].hash"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			document := Default()
			test.change(&document)
			if got := problemPaths(document.Check()); !slices.Equal(got, test.want) {
				t.Errorf("got problems at %q, want %q", got, test.want)
			}
		})
	}
}

// checkCase is a change to the default document and the paths of the problems that it causes.
type checkCase = struct {
	change func(d *Document)
	want   []string
}

// exceptionCase returns a case with one invalid field of an exception.
func exceptionCase(change func(e *Exception), field string) checkCase {
	return checkCase{
		change: func(d *Document) { d.Exceptions = []Exception{exception(change)} },
		want:   []string{strings.TrimSuffix("exceptions[0]."+field, ".")},
	}
}

// tokenCase returns a case with one invalid field of a token.
func tokenCase(change func(t *Token), field string) checkCase {
	return checkCase{
		change: func(d *Document) { d.Tokens = []Token{token(change)} },
		want:   []string{"tokens[0]." + field},
	}
}

// problemPaths returns the paths of the problems in an error.
func problemPaths(err error) []string {
	var problems Problems
	var found []string
	errors.As(err, &problems)
	for _, problem := range problems {
		found = append(found, problem.Path)
	}
	return found
}

func TestContradictions(t *testing.T) {
	base := func(e *Exception) { e.Name = "first" }
	tests := map[string]struct {
		first, second func(e *Exception)
		want          bool
	}{
		"same scope":              {second: func(e *Exception) { e.Value = "1" }, want: true},
		"same scope and value":    {second: func(*Exception) {}},
		"other setting":           {second: func(e *Exception) { e.Setting = SettingQueueLimit }},
		"other database":          {second: func(e *Exception) { e.Database, e.Value = "enrol-2", "1" }},
		"more specific":           {second: func(e *Exception) { e.Kind, e.Value = "payment", "1" }},
		"overlap in other fields": {second: func(e *Exception) { e.Database, e.Region, e.Value = "", "coastal", "1" }, want: true},
		"kind within rank":        {first: func(e *Exception) { e.Database, e.Rank = "", 1 }, second: func(e *Exception) { e.Database, e.Kind, e.Value = "", "payment", "1" }, want: true},
		"kind of another rank":    {first: func(e *Exception) { e.Database, e.Rank = "", 2 }, second: func(e *Exception) { e.Database, e.Kind, e.Value = "", "payment", "1" }},
		"two kinds at a database": {first: func(e *Exception) { e.Kind = "roster" }, second: func(e *Exception) { e.Kind, e.Value = "payment", "1" }},
		"data centre and region":  {first: func(e *Exception) { e.DataCentre = "a" }, second: func(e *Exception) { e.Region, e.Value = "coastal", "1" }, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			document := Default()
			first := exception(base)
			if test.first != nil {
				test.first(&first)
			}
			second := exception(func(e *Exception) { e.Name = "second" })
			test.second(&second)
			document.Exceptions = []Exception{first, second}
			err := document.Check()
			if got := err != nil; got != test.want {
				t.Fatalf("got contradiction %v (%v), want %v", got, err, test.want)
			}
			if test.want && (!strings.Contains(err.Error(), "first") || !strings.Contains(err.Error(), "second")) {
				t.Errorf("got %v, want both exceptions named", err)
			}
		})
	}
}

// matchesError reports whether an error contains the text; an empty text matches only a nil error.
func matchesError(err error, text string) bool {
	if err == nil || text == "" {
		return err == nil && text == ""
	}
	return strings.Contains(err.Error(), text)
}
