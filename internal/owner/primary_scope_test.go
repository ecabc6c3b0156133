package owner

import (
	"testing"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// fleetOf returns a view with one database.
func fleetOf(database view.Database) *view.View {
	return &view.View{Databases: map[model.DatabaseID]*view.Database{database.ID: &database}}
}

func TestTenureEndsWithItsPrimary(t *testing.T) {
	begun := view.Database{ID: "seats", Owner: "host-1", Term: 2, Primary: "seats-a", Serving: true}
	tests := map[string]struct {
		now  view.Database
		want bool // the attempt is ended
	}{
		"nothing changed":                {now: begun, want: false},
		"new term, same primary":         {now: view.Database{ID: "seats", Owner: "host-1", Term: 3, Primary: "seats-a", Serving: true}, want: false},
		"another primary not in service": {now: view.Database{ID: "seats", Owner: "host-1", Term: 3, Primary: "seats-b"}, want: false},
		"another primary serves":         {now: view.Database{ID: "seats", Owner: "host-1", Term: 3, Primary: "seats-b", Serving: true}, want: true},
		"another host owns":              {now: view.Database{ID: "seats", Owner: "host-2", Term: 3, Primary: "seats-a"}, want: true},
		"database is gone":               {now: view.Database{ID: "rosters"}, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			instances := NewInstances()
			instances.Host = "host-1"
			ctx, stop := instances.withPrimary(t.Context(), &begun)
			defer stop()
			instances.cancelOverScopes(fleetOf(test.now))
			if test.want {
				<-ctx.Done()
			}
			if got := ctx.Err() != nil; got != test.want {
				t.Errorf("got ended %v, want %v", got, test.want)
			}
		})
	}
}
