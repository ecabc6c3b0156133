package data

import (
	"fmt"
	"strings"
	"testing"

	"redwingspread/internal/model"
)

// statement parses "operation name=value ..." as a statement.
func statement(text string) model.Statement {
	words := strings.Fields(text)
	s := model.Statement{Operation: words[0], Access: operations[words[0]].access, Arguments: map[string]string{}}
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		s.Arguments[name] = value
	}
	return s
}

func TestRun(t *testing.T) {
	tests := map[string]struct {
		before []string
		run    string
		want   string
	}{
		"a full section puts a resident on the waitlist":        {[]string{"offer section=s capacity=1", "register section=s resident=a"}, "register section=s resident=b", "{true  [map[cents:0 payments:0 status:waiting]]}"},
		"a withdrawal seats the first resident on the waitlist": {[]string{"offer section=s capacity=1", "register section=s resident=a", "register section=s resident=b", "withdraw section=s resident=a"}, "roster section=s", "{true  [map[resident:b]]}"},
		"the waitlist keeps its order":                          {[]string{"offer section=s capacity=0", "register section=s resident=b", "register section=s resident=a"}, "waitlist section=s", "{true  [map[resident:b] map[resident:a]]}"},
		"a payment without a seat":                              {nil, "pay section=s resident=a cents=5", "{false no seat []}"},
		"an amount below one cent":                              {nil, "pay section=s resident=a cents=-5", "{false cents is not an amount []}"},
		"a checkout of a lamp on loan":                          {[]string{"stock lamp=l branch=x", "checkout lamp=l borrower=a"}, "checkout lamp=l borrower=b", "{false on loan []}"},
		"a return of a lamp not on loan":                        {[]string{"stock lamp=l branch=x", "checkout lamp=l borrower=a", "return lamp=l branch=y"}, "return lamp=l branch=y", "{false not on loan []}"},
		"a lamp is returned to any branch":                      {[]string{"stock lamp=l branch=x", "checkout lamp=l borrower=a", "return lamp=l branch=y"}, "catalogue branch=y", "{true  [map[borrower: branch:y lamp:l loans:1 reserved:]]}"},
		"a reserved lamp is not lent to others":                 {[]string{"stock lamp=l branch=x", "reserve lamp=l borrower=a"}, "checkout lamp=l borrower=b", "{false reserved []}"},
		"counter lists the loans of a borrower":                 {[]string{"stock lamp=l branch=x", "checkout lamp=l borrower=a"}, "counter borrower=a", "{true  [map[borrower:a branch:x lamp:l loans:1 reserved:]]}"},
		"report counts seats and lamps":                         {[]string{"stock lamp=l branch=x", "checkout lamp=l borrower=a", "offer section=s capacity=2"}, "report", "{true  [map[capacity:2 seats:0 section:s waiting:0] map[branch:x lamps:1 lent:1]]}"},
		"an unknown lamp":                                       {nil, "lamp lamp=l", "{true  []}"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := New()
			for _, text := range test.before {
				d.Run(statement(text))
			}
			if got := fmt.Sprint(d.Run(statement(test.run))); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}

func TestRollback(t *testing.T) {
	d := New()
	d.Run(statement("offer section=s capacity=1"))
	d.Run(statement("register section=s resident=a"))
	d.Commit()
	d.Run(statement("withdraw section=s resident=a"))
	d.Run(statement("stock lamp=l branch=x"))
	d.Rollback()
	got := fmt.Sprint(d.Run(statement("report")).Rows)
	want := "[map[capacity:1 seats:1 section:s waiting:0]]"
	if got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
