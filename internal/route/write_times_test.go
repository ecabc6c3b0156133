package route

import (
	"testing"
	"time"

	"redwingspread/internal/model"
)

func TestWriteTimes(t *testing.T) {
	var times WriteTimes
	const writes = 3000
	for i := range writes {
		point := model.Point{Term: 3, Position: model.Position(i + 1)}
		times.Record(point, start.Add(time.Duration(i)*stampInterval/2))
	}
	times.Record(model.Point{Term: 2, Position: writes * 2}, start)
	tests := map[string]struct {
		point model.Point
		want  time.Duration // after the start; negative when unknown
	}{
		"stamped":            {point: model.Point{Term: 3, Position: 2001}, want: 1000 * stampInterval},
		"between two stamps": {point: model.Point{Term: 3, Position: 2000}, want: 1000 * stampInterval},
		"of an older term":   {point: model.Point{Term: 2, Position: 2001}, want: 1000 * stampInterval},
		"before the oldest":  {point: model.Point{Term: 3, Position: 1}, want: (writes/2 - maxStamps) * stampInterval},
		"not written yet":    {point: model.Point{Term: 3, Position: writes + 1}, want: -1},
		"of a newer term":    {point: model.Point{Term: 4, Position: 1}, want: -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := times.WrittenAt(test.point)
			if test.want < 0 {
				if !got.IsZero() {
					t.Errorf("got %v, want the zero time", got)
				}
				return
			}
			if want := start.Add(test.want); !got.Equal(want) {
				t.Errorf("got %v after the start, want %v", got.Sub(start), want.Sub(start))
			}
		})
	}
}

func TestWriteTimesDropOlderTerms(t *testing.T) {
	var times WriteTimes
	times.Record(model.Point{Term: 1, Position: 10}, start)
	times.Record(model.Point{Term: 2, Position: 8}, start.Add(time.Second))
	if got, want := times.WrittenAt(model.Point{Term: 1, Position: 7}), start.Add(time.Second); !got.Equal(want) {
		t.Errorf("got %v, want the stamp of the newer term, %v", got, want)
	}
	if got := times.WrittenAt(model.Point{Term: 1, Position: 10}); !got.IsZero() {
		t.Errorf("got %v for a position past the newer term, want the zero time", got)
	}
}
