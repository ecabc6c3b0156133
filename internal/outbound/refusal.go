package outbound

import (
	"errors"

	"redwingspread/internal/model"
)

// Effect reports whether a call without an answer may have changed something.
type Effect bool

// The effects of calls.
const (
	MayHaveRun Effect = true
	NoEffect   Effect = false
)

// ClassifyError returns the refusal for a call without a complete answer: not run when it was never sent or has no effect, else of unknown outcome.
func ClassifyError(err error, effect Effect) *model.Refusal {
	if errors.Is(err, ErrNotSent) || effect == NoEffect {
		return model.Refuse(model.CodeUnavailable, "%v", err)
	}
	return model.OutcomeUnknown("no whole answer: %v", err)
}
