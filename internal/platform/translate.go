package platform

import (
	"errors"

	"redwingspread/internal/model"
	"redwingspread/internal/outbound"
	"redwingspread/pkg/api/platformapi"
)

// decodeError translates the error of a call into a *model.Refusal; nil stays nil.
func decodeError(err error, effect outbound.Effect) error {
	if err == nil {
		return nil
	}
	if status, ok := errors.AsType[*platformapi.RefusalStatusCode](err); ok {
		return decodeRefusal(status.Response, effect)
	}
	return outbound.ClassifyError(err, effect)
}

// decodeRefusal translates a refusal of the platform; after an internal one the outcome of a write is unknown.
func decodeRefusal(message platformapi.Refusal, effect outbound.Effect) *model.Refusal {
	notRun := effect == outbound.NoEffect || message.Code != platformapi.RefusalCodeInternal
	return &model.Refusal{Code: model.Code(message.Code), NotRun: notRun, Message: message.Message}
}

// decodeRows translates rows of the table service.
func decodeRows(from []platformapi.Row) []Row {
	decoded := make([]Row, 0, len(from))
	for _, row := range from {
		decoded = append(decoded, Row{
			Key:      model.RowKey(row.Key),
			Version:  model.Version(row.Version),
			Revision: model.Revision(row.Revision),
			Value:    row.Value,
		})
	}
	return decoded
}

// encodeTransaction translates the checks and writes of a transaction.
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

// decodeMembers translates the platform's list of members.
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

// decodeHost translates a member that is a host.
func decodeHost(member platformapi.Member) model.Host {
	return model.Host{
		ID:         model.HostID(member.ID),
		Address:    model.Address(member.Address),
		DataCentre: model.DataCentreID(member.DataCentre),
		Region:     model.RegionID(member.Region),
		Leaving:    member.Leaving,
	}
}

// decodeInstance translates a member that is an endpoint.
func decodeInstance(member platformapi.Member) model.Instance {
	return model.Instance{
		ID:         model.InstanceID(member.ID),
		Database:   model.DatabaseID(member.Database.Or("")),
		Address:    model.Address(member.Address),
		DataCentre: model.DataCentreID(member.DataCentre),
		Region:     model.RegionID(member.Region),
		Leaving:    member.Leaving,
	}
}
