package peer

import (
	"context"

	"redwingspread/internal/fleet"
	"redwingspread/internal/model"
	"redwingspread/internal/ownership"
	"redwingspread/pkg/api/peerapi"
)

// Fleet returns the members and owners that a host knows.
func (c *Client) Fleet(ctx context.Context, host model.Host) (fleet.Fleet, error) {
	api, err := c.api(host.Address)
	if err != nil {
		return fleet.Fleet{}, err
	}
	answer, err := api.GetFleet(ctx)
	if err != nil {
		return fleet.Fleet{}, decodeCallError(err)
	}
	return decodeFleet(answer), nil
}

// encodeFleet translates the known members and owners into a message.
func encodeFleet(known fleet.Fleet) *peerapi.Fleet {
	message := &peerapi.Fleet{
		Revision: uint64(known.Revision),
		Members:  make([]peerapi.FleetMember, 0, len(known.Hosts)+len(known.Instances)),
		Rows:     make([]peerapi.FleetRow, 0, len(known.Rows)),
	}
	for _, host := range known.Hosts {
		message.Members = append(message.Members, peerapi.FleetMember{
			Role:       peerapi.FleetMemberRoleHost,
			ID:         string(host.ID),
			Address:    string(host.Address),
			DataCentre: string(host.DataCentre),
			Region:     string(host.Region),
			Leaving:    host.Leaving,
		})
	}
	for _, instance := range known.Instances {
		message.Members = append(message.Members, peerapi.FleetMember{
			Role:       peerapi.FleetMemberRoleEndpoint,
			ID:         string(instance.ID),
			Address:    string(instance.Address),
			DataCentre: string(instance.DataCentre),
			Region:     string(instance.Region),
			Database:   peerapi.NewOptString(string(instance.Database)),
			Leaving:    instance.Leaving,
		})
	}
	for _, owned := range known.Rows {
		message.Rows = append(message.Rows, peerapi.FleetRow{
			Database: string(owned.Database),
			Version:  uint64(owned.Version),
			Value:    *ownership.ToMessage(owned),
		})
	}
	return message
}

// decodeFleet translates a message into the known members and owners.
func decodeFleet(message *peerapi.Fleet) fleet.Fleet {
	known := fleet.Fleet{Revision: model.Revision(message.Revision)}
	for _, member := range message.Members {
		if member.Role == peerapi.FleetMemberRoleHost {
			known.Hosts = append(known.Hosts, decodeHost(member))
			continue
		}
		known.Instances = append(known.Instances, decodeInstance(member))
	}
	for _, owned := range message.Rows {
		database := model.DatabaseID(owned.Database)
		known.Rows = append(known.Rows, ownership.FromMessage(database, model.Version(owned.Version), &owned.Value))
	}
	return known
}

// decodeHost translates a member into a host.
func decodeHost(member peerapi.FleetMember) model.Host {
	return model.Host{
		ID:         model.HostID(member.ID),
		Address:    model.Address(member.Address),
		DataCentre: model.DataCentreID(member.DataCentre),
		Region:     model.RegionID(member.Region),
		Leaving:    member.Leaving,
	}
}

// decodeInstance translates a member into an instance.
func decodeInstance(member peerapi.FleetMember) model.Instance {
	return model.Instance{
		ID:         model.InstanceID(member.ID),
		Database:   model.DatabaseID(member.Database.Or("")),
		Address:    model.Address(member.Address),
		DataCentre: model.DataCentreID(member.DataCentre),
		Region:     model.RegionID(member.Region),
		Leaving:    member.Leaving,
	}
}
