package fault

import (
	"time"

	"redwingspread/pkg/api/standinapi"
)

// FromMessage translates a message of the stand-in API to faults.
func FromMessage(m *standinapi.Faults) Faults {
	faults := Faults{
		Outage:         m.Outage.Or(false),
		SlowBy:         milliseconds(m.SlowMs),
		LoseAnswers:    Probability(m.LoseAnswers.Or(0)),
		DoubleRequests: Probability(m.DoubleRequests.Or(0)),
		CutAnswers:     Probability(m.CutAnswers.Or(0)),
		LateAnswers:    Probability(m.LateAnswers.Or(0)),
		LateBy:         milliseconds(m.LateMs),
		Leaving:        m.Leaving.Or(false),
	}
	if m.LagMs.Set {
		lag := milliseconds(m.LagMs)
		faults.Lag = &lag
	}
	for _, name := range m.IsolatedFrom {
		faults.IsolatedFrom = append(faults.IsolatedFrom, Sender(name))
	}
	return faults
}

// Message translates faults to a message of the stand-in API.
func (f Faults) Message() *standinapi.Faults {
	message := &standinapi.Faults{
		Outage:         standinapi.NewOptBool(f.Outage),
		SlowMs:         standinapi.NewOptInt64(f.SlowBy.Milliseconds()),
		LoseAnswers:    standinapi.NewOptFloat64(float64(f.LoseAnswers)),
		DoubleRequests: standinapi.NewOptFloat64(float64(f.DoubleRequests)),
		CutAnswers:     standinapi.NewOptFloat64(float64(f.CutAnswers)),
		LateAnswers:    standinapi.NewOptFloat64(float64(f.LateAnswers)),
		LateMs:         standinapi.NewOptInt64(f.LateBy.Milliseconds()),
		Leaving:        standinapi.NewOptBool(f.Leaving),
	}
	if f.Lag != nil {
		message.LagMs = standinapi.NewOptInt64(f.Lag.Milliseconds())
	}
	for _, sender := range f.IsolatedFrom {
		message.IsolatedFrom = append(message.IsolatedFrom, string(sender))
	}
	return message
}

// milliseconds converts an optional number of milliseconds to a duration.
func milliseconds(number standinapi.OptInt64) time.Duration {
	return time.Duration(number.Or(0)) * time.Millisecond
}
