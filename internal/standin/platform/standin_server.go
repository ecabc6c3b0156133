package platform

import (
	"context"
	"net/http"

	"redwingspread/internal/model"
	"redwingspread/internal/standin"
	"redwingspread/internal/standin/fault"
	"redwingspread/pkg/api/standinapi"
)

// standinServer implements the stand-in API of the platform.
type standinServer struct {
	platform *Platform
}

// SetFaults replaces the active faults.
func (s standinServer) SetFaults(_ context.Context, m *standinapi.Faults) error {
	s.platform.Faults.Set(fault.FromMessage(m))
	return nil
}

// GetFaults returns the active faults.
func (s standinServer) GetFaults(context.Context) (*standinapi.Faults, error) {
	return s.platform.Faults.Faults().Message(), nil
}

// ReadLog refuses the request: only the stand-ins of instances have a log.
func (s standinServer) ReadLog(context.Context, standinapi.ReadLogParams) (*standinapi.Log, error) {
	return nil, model.Refuse(model.CodeInvalid, "the platform holds no log")
}

// SetMember adds or replaces a member of the list.
func (s standinServer) SetMember(ctx context.Context, m *standinapi.Member) error {
	return s.platform.SetMember(ctx, Member{
		Role:       Role(m.Role),
		ID:         m.ID,
		Address:    model.Address(m.Address),
		DataCentre: model.DataCentreID(m.DataCentre),
		Region:     model.RegionID(m.Region),
		Database:   model.DatabaseID(m.Database.Or("")),
		Leaving:    m.Leaving,
	})
}

// SetMember adds or replaces one member of the list. ListMembers shows the update after the list's lag.
func (p *Platform) SetMember(ctx context.Context, member Member) error {
	_, err := standin.Ask(ctx, p.actor, func(c *core) (struct{}, error) {
		c.setMember(p.Now(), member)
		return struct{}{}, nil
	})
	return err
}

// NewError translates an error to a response.
func (s standinServer) NewError(_ context.Context, err error) *standinapi.RefusalStatusCode {
	return &standinapi.RefusalStatusCode{
		StatusCode: http.StatusBadRequest,
		Response:   standinapi.Refusal{Code: standinapi.RefusalCodeInvalid, Message: err.Error()},
	}
}
