package fleet

import "testing"

func TestIdleRotation(t *testing.T) {
	tests := map[string]struct {
		databases int
		epochs    []int // of the ticks in turn, after a first one in epoch 0
		want      int   // looks at the database in the first place
	}{
		"a small fleet looks each time":           {rotationThreshold - 1, []int{0, 0, 0, 0}, 4},
		"a large fleet looks once a round":        {rotationThreshold, []int{0, 0, 0, 0}, 1},
		"a change of the members looks at all":    {rotationThreshold, []int{1, 2, 3, 4}, 4},
		"a change counts for one tick":            {rotationThreshold, []int{1, 1, 1, 1}, 2},
		"a large fleet looks twice in two rounds": {rotationThreshold, []int{0, 0, 0, 0, 0, 0, 0, 0}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var made idleRotation
			made.nextTick(test.databases, 0)
			got := 0
			for _, epoch := range test.epochs {
				made.nextTick(test.databases, epoch)
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
