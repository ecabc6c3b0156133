package instance

import (
	"context"
	"net/http"

	"redwingspread/internal/model"
	"redwingspread/internal/standin/fault"
	"redwingspread/pkg/api/standinapi"
)

// standinServer implements the stand-in API of an instance.
type standinServer struct {
	instance *Instance
}

// SetFaults replaces the active faults.
func (s standinServer) SetFaults(_ context.Context, m *standinapi.Faults) error {
	s.instance.Faults.Set(fault.FromMessage(m))
	return nil
}

// GetFaults returns the active faults.
func (s standinServer) GetFaults(context.Context) (*standinapi.Faults, error) {
	return s.instance.Faults.Faults().Message(), nil
}

// ReadLog returns the log entries after a point to a replica.
func (s standinServer) ReadLog(ctx context.Context, p standinapi.ReadLogParams) (*standinapi.Log, error) {
	after := model.Point{Term: model.Term(p.AfterTerm), Position: model.Position(p.AfterPosition)}
	batch, err := s.instance.serveLog(ctx, model.Term(p.Term), after)
	if err != nil {
		return nil, err
	}
	return logMessage(batch)
}

// SetMember refuses the request: only the stand-in of the platform has a member list.
func (s standinServer) SetMember(context.Context, *standinapi.Member) error {
	return model.Refuse(model.CodeInvalid, "an instance holds no list of members")
}

// NewError translates an error to a response.
func (s standinServer) NewError(_ context.Context, err error) *standinapi.RefusalStatusCode {
	return &standinapi.RefusalStatusCode{
		StatusCode: http.StatusServiceUnavailable,
		Response:   standinapi.Refusal{Code: standinapi.RefusalCodeUnavailable, Message: err.Error()},
	}
}
