package bounded

import (
	"testing"
	"time"
)

func TestMap(t *testing.T) {
	type put struct {
		key  string
		wait time.Duration // time that passes after the put
	}
	tests := map[string]struct {
		puts []put
		want string // keys left
	}{
		"empty":                {},
		"within limits":        {puts: []put{{key: "a"}, {key: "b"}}, want: "ab"},
		"over the limit":       {puts: []put{{key: "a"}, {key: "b"}, {key: "c"}, {key: "d"}}, want: "bcd"},
		"one expired":          {puts: []put{{key: "a", wait: time.Second}, {key: "b"}}, want: "b"},
		"all expired":          {puts: []put{{key: "a"}, {key: "b", wait: time.Second}}},
		"replaced value":       {puts: []put{{key: "a", wait: 600 * time.Millisecond}, {key: "a", wait: 600 * time.Millisecond}}, want: "a"},
		"value replaced often": {puts: []put{{key: "a"}, {key: "b"}, {key: "a"}, {key: "a"}, {key: "c"}}, want: "abc"},
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

// TestReplacedValuesLeaveNothing replaces one value often while an older one keeps its place.
func TestReplacedValuesLeaveNothing(t *testing.T) {
	tests := map[string]struct {
		step time.Duration // between two puts; zero for puts within the clock's resolution
	}{
		"at one moment": {},
		"in turn":       {step: time.Microsecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			m := New[string, int](100, time.Hour)
			m.Now = func() time.Time { return now }
			m.Put("old", 0)
			for i := range 10000 {
				now = now.Add(test.step)
				m.Put("often", i)
			}
			if got, most := len(m.insertions), 2*m.Len()+compactSlack; got > most {
				t.Errorf("got %d insertions kept for %d values, want at most %d", got, m.Len(), most)
			}
			if _, found := m.Get("old"); !found {
				t.Error("got no old value, want it kept")
			}
			if got, _ := m.Get("often"); got != 9999 {
				t.Errorf("got %d, want the latest value", got)
			}
		})
	}
}
