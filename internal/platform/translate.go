package platform

import (
	"errors"

	"redwingspread/internal/model"
	"redwingspread/internal/outbound"
	"redwingspread/pkg/api/platformapi"
)

// decodeError returns the *model.Refusal that a failed call amounts to, or nil when it did not fail.
func decodeError(err error, effect outbound.Effect) error {
	if err == nil {
		return nil
	}
	if status, ok := errors.AsType[*platformapi.RefusalStatusCode](err); ok {
		return decodeRefusal(status.Response, effect)
	}
	return outbound.ClassifyError(err, effect)
}

// decodeRefusal translates a refusal of the platform, of which an internal one leaves a write in doubt.
func decodeRefusal(r platformapi.Refusal, effect outbound.Effect) *model.Refusal {
	certain := effect == outbound.NoEffect || r.Code != platformapi.RefusalCodeInternal
	return &model.Refusal{Code: model.Code(r.Code), NotRun: certain, Message: r.Message}
}

// decodeRows translates rows of the table service.
func decodeRows(from []platformapi.Row) []Row {
	translated := make([]Row, 0, len(from))
	for _, row := range from {
		translated = append(translated, Row{
			Key:      model.RowKey(row.Key),
			Version:  model.Version(row.Version),
			Revision: model.Revision(row.Revision),
			Value:    row.Value,
		})
	}
	return translated
}

// encodeTransaction translates a transaction's checks and writes.
func encodeTransaction(checks []Check, puts []Put) *platformapi.RowTransaction {
	message := &platformapi.RowTransaction{
		Checks: make([]platformapi.RowCheck, 0, len(checks)),
		Writes: make([]platformapi.RowWrite, 0, len(puts)),
	}
	for _, check := range checks {
		message.Checks = append(message.Checks, platformapi.RowCheck{Key: string(check.Key), Version: uint64(check.Version)})
	}
	for _, put := range puts {
		message.Writes = append(message.Writes, platformapi.RowWrite{Key: string(put.Key), Value: put.Value})
	}
	return message
}

// decodeMembers translates the platform's list.
func decodeMembers(from []platformapi.Member) Members {
	var members Members
	for _, member := range from {
		if member.Role == platformapi.MemberRoleHost {
			members.Hosts = append(members.Hosts, decodeHost(member))
			continue
		}
		members.Instances = append(members.Instances, decodeInstance(member))
	}
	return members
}

// decodeHost translates one host of the list.
func decodeHost(m platformapi.Member) model.Host {
	return model.Host{
		ID:         model.HostID(m.ID),
		Address:    model.Address(m.Address),
		DataCentre: model.DataCentreID(m.DataCentre),
		Region:     model.RegionID(m.Region),
		Leaving:    m.Leaving,
	}
}

// decodeInstance translates one endpoint of the list.
func decodeInstance(m platformapi.Member) model.Instance {
	return model.Instance{
		ID:         model.InstanceID(m.ID),
		Database:   model.DatabaseID(m.Database.Or("")),
		Address:    model.Address(m.Address),
		DataCentre: model.DataCentreID(m.DataCentre),
		Region:     model.RegionID(m.Region),
		Leaving:    m.Leaving,
	}
}
