package bounded

import (
	"testing"
	"time"
)

func TestMap(t *testing.T) {
	type put struct {
		key  string
		wait time.Duration // after it was put
	}
	tests := map[string]struct {
		puts []put
		want string // keys that are kept
	}{
		"nothing":        {},
		"within limits":  {puts: []put{{key: "a"}, {key: "b"}}, want: "ab"},
		"too many":       {puts: []put{{key: "a"}, {key: "b"}, {key: "c"}, {key: "d"}}, want: "bcd"},
		"too old":        {puts: []put{{key: "a", wait: time.Second}, {key: "b"}}, want: "b"},
		"all too old":    {puts: []put{{key: "a"}, {key: "b", wait: time.Second}}},
		"replaced":       {puts: []put{{key: "a", wait: 600 * time.Millisecond}, {key: "a", wait: 600 * time.Millisecond}}, want: "a"},
		"replaced often": {puts: []put{{key: "a"}, {key: "b"}, {key: "a"}, {key: "a"}, {key: "c"}}, want: "abc"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			m := New[string, int](3, time.Second)
			m.Now = func() time.Time { return now }
			for i, put := range test.puts {
				now = now.Add(time.Microsecond)
				m.Put(put.key, i)
				now = now.Add(put.wait)
			}
			got := ""
			for _, key := range []string{"a", "b", "c", "d"} {
				if _, found := m.Get(key); found {
					got += key
				}
			}
			if got != test.want || m.Len() != len(test.want) {
				t.Errorf("got keys %q and length %d, want %q", got, m.Len(), test.want)
			}
		})
	}
}
