package fleet

import "testing"

func TestIdleRotation(t *testing.T) {
	tests := map[string]struct {
		databases int
		epochs    []int // of consecutive ticks, after a first one in epoch 0
		want      int   // number of checks of the database with index 0
	}{
		"small fleet: checked on every tick":                  {rotationThreshold - 1, []int{0, 0, 0, 0}, 4},
		"large fleet: checked once a round":                   {rotationThreshold, []int{0, 0, 0, 0}, 1},
		"members change on every tick: checked on every tick": {rotationThreshold, []int{1, 2, 3, 4}, 4},
		"members change once: one more check":                 {rotationThreshold, []int{1, 1, 1, 1}, 2},
		"large fleet: checked twice in two rounds":            {rotationThreshold, []int{0, 0, 0, 0, 0, 0, 0, 0}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var rotation idleRotation
			rotation.nextTick(test.databases, 0)
			got := 0
			for _, epoch := range test.epochs {
				rotation.nextTick(test.databases, epoch)
				if !rotation.skips(0) {
					got++
				}
			}
			if got != test.want {
				t.Errorf("got %d checks, want %d", got, test.want)
			}
		})
	}
}
