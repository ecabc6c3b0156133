package fleet

import "testing"

func TestTurns(t *testing.T) {
	tests := map[string]struct {
		databases int
		epochs    []int // of the ticks in turn, after a first one in epoch 0
		want      int   // looks at the database in the first place
	}{
		"a small fleet looks each time":           {manyDatabases - 1, []int{0, 0, 0, 0}, 4},
		"a large fleet looks once a round":        {manyDatabases, []int{0, 0, 0, 0}, 1},
		"a change of the members looks at all":    {manyDatabases, []int{1, 2, 3, 4}, 4},
		"a change counts for one tick":            {manyDatabases, []int{1, 1, 1, 1}, 2},
		"a large fleet looks twice in two rounds": {manyDatabases, []int{0, 0, 0, 0, 0, 0, 0, 0}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var made turns
			made.next(test.databases, 0)
			got := 0
			for _, epoch := range test.epochs {
				made.next(test.databases, epoch)
				if !made.skips(0) {
					got++
				}
			}
			if got != test.want {
				t.Errorf("got %d looks, want %d", got, test.want)
			}
		})
	}
}
