package owner

import (
	"testing"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
)

// viewOf returns a view with one database.
func viewOf(database view.Database) *view.View {
	return &view.View{Databases: map[model.DatabaseID]*view.Database{database.ID: &database}}
}

func TestWithPrimary(t *testing.T) {
	initial := view.Database{ID: "seats", Owner: "host-1", Term: 2, Primary: "seats-a", Serving: true}
	tests := map[string]struct {
		now  view.Database
		want bool // whether the context is cancelled
	}{
		"nothing changed":             {now: initial, want: false},
		"new term, same primary":      {now: view.Database{ID: "seats", Owner: "host-1", Term: 3, Primary: "seats-a", Serving: true}, want: false},
		"new primary not serving yet": {now: view.Database{ID: "seats", Owner: "host-1", Term: 3, Primary: "seats-b"}, want: false},
		"new primary serves":          {now: view.Database{ID: "seats", Owner: "host-1", Term: 3, Primary: "seats-b", Serving: true}, want: true},
		"new owner":                   {now: view.Database{ID: "seats", Owner: "host-2", Term: 3, Primary: "seats-a"}, want: true},
		"database removed":            {now: view.Database{ID: "rosters"}, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			instances := NewInstances()
			instances.Host = "host-1"
			ctx, stop := instances.withPrimary(t.Context(), &initial)
			defer stop()
			instances.cancelEndedScopes(viewOf(test.now))
			if test.want {
				<-ctx.Done()
			}
			if got := ctx.Err() != nil; got != test.want {
				t.Errorf("got cancelled %v, want %v", got, test.want)
			}
		})
	}
}
