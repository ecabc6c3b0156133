package outbound

import (
	"errors"

	"redwingspread/internal/model"
)

// Effect tells whether a call whose answer stayed away may have changed something.
type Effect bool

// The effects of calls.
const (
	MayHaveRun Effect = true
	NoEffect   Effect = false
)

// ClassifyError returns what a call without a whole answer amounts to: not run when it was never sent or has no effect, else unknown.
func ClassifyError(err error, effect Effect) *model.Refusal {
	if errors.Is(err, ErrNotSent) || effect == NoEffect {
		return model.Refuse(model.CodeUnavailable, "%v", err)
	}
	return model.OutcomeUnknown("no whole answer: %v", err)
}
