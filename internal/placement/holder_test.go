package placement

import "testing"

// TestChooseHolder guards against calls that queue at one holder while the next one is free, against a change of holder for a small
// difference, which opens streams and cools connections, and against a wait for a stream while another is open.
func TestChooseHolder(t *testing.T) {
	lost := Holder{}
	apart := Holder{Reachable: true}
	holder := func(inFlight, response int) Holder {
		return Holder{Reachable: true, Connected: true, InFlight: inFlight, Response: ms(response)}
	}
	tests := map[string]struct {
		holders []Holder
		want    int
		connect int
	}{
		"none":                                        {nil, None, None},
		"none is reachable":                           {[]Holder{lost, lost}, None, None},
		"none is connected":                           {[]Holder{lost, apart, apart}, 1, None},
		"preferred one is connected later":            {[]Holder{apart, holder(0, 10), apart}, 1, 0},
		"preferred one of two is connected later":     {[]Holder{apart, holder(2, 10), holder(1, 10)}, 2, 0},
		"one is enough while it is idle":              {[]Holder{holder(0, 10), apart}, 0, None},
		"another is connected while the first is not": {[]Holder{holder(1, 10), lost, apart}, 0, 2},
		"fewer calls in flight":                       {[]Holder{holder(2, 10), holder(1, 90)}, 1, None},
		"more calls in flight":                        {[]Holder{holder(1, 90), holder(2, 10)}, 0, None},
		"calls differ by less than a fifth":           {[]Holder{holder(10, 10), holder(9, 10)}, 0, None},
		"calls differ by a fifth":                     {[]Holder{holder(10, 10), holder(8, 10)}, 1, None},
		"as many calls, quicker":                      {[]Holder{holder(1, 100), holder(1, 80)}, 1, None},
		"as many calls, little quicker":               {[]Holder{holder(1, 100), holder(1, 81)}, 0, None},
		"as many calls, no times known":               {[]Holder{holder(0, 0), holder(0, 0)}, 0, None},
		"as many calls, time of the first not known":  {[]Holder{holder(0, 0), holder(0, 80)}, 0, None},
		"as many calls, time of the other not known":  {[]Holder{holder(0, 100), holder(0, 0)}, 0, None},
		"a third one is not considered":               {[]Holder{holder(2, 10), holder(2, 10), holder(0, 10)}, 0, None},
		"a lost one is passed over":                   {[]Holder{holder(2, 10), lost, holder(0, 10)}, 2, None},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got, connect := ChooseHolder(test.holders); got != test.want || connect != test.connect {
				t.Errorf("got %d, %d, want %d, %d", got, connect, test.want, test.connect)
			}
		})
	}
}

func BenchmarkChooseHolder(b *testing.B) {
	holders := []Holder{{Reachable: true, Connected: true, InFlight: 3}, {Reachable: true}, {Reachable: true, Connected: true, InFlight: 2}, {}}
	b.ReportAllocs()
	for b.Loop() {
		ChooseHolder(holders)
	}
}
