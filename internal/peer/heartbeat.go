package peer

import (
	"context"

	"redwingspread/internal/fleet"
	"redwingspread/internal/member"
	"redwingspread/internal/model"
	"redwingspread/internal/view"
	"redwingspread/pkg/api/peerapi"
)

// Heartbeat sends a heartbeat to a host and returns the host's answer, its own heartbeat.
func (c *Client) Heartbeat(ctx context.Context, host model.Host, heartbeat fleet.Heartbeat) (fleet.Heartbeat, error) {
	api, err := c.api(host.Address)
	if err != nil {
		return fleet.Heartbeat{}, err
	}
	answer, err := api.Heartbeat(ctx, EncodeHeartbeat(heartbeat))
	if err != nil {
		return fleet.Heartbeat{}, decodeCallError(err)
	}
	return decodeHeartbeat(answer), nil
}

// Configuration returns the newest configuration that a host knows.
func (c *Client) Configuration(ctx context.Context, host model.Host) (model.Version, string, error) {
	api, err := c.api(host.Address)
	if err != nil {
		return 0, "", err
	}
	answer, err := api.GetConfiguration(ctx)
	if err != nil {
		return 0, "", decodeCallError(err)
	}
	return model.Version(answer.Version), answer.Document, nil
}

// EncodeHeartbeat translates a heartbeat into a message.
func EncodeHeartbeat(heartbeat fleet.Heartbeat) *peerapi.Heartbeat {
	message := &peerapi.Heartbeat{
		From:          string(heartbeat.From),
		Address:       peerapi.NewOptString(string(heartbeat.Address)),
		Incarnation:   uint64(heartbeat.Incarnation),
		Sequence:      uint64(heartbeat.Sequence),
		Configuration: uint64(heartbeat.Configuration),
	}
	if heartbeat.Leaving {
		message.Leaving = peerapi.NewOptBool(true)
	}
	for _, update := range heartbeat.Members {
		message.Members = append(message.Members, peerapi.MemberNews{
			Host:        string(update.Host),
			Incarnation: uint64(update.Incarnation),
			Sequence:    uint64(update.Sequence),
			State:       peerapi.MemberNewsState(update.State),
		})
	}
	for _, update := range heartbeat.Owners {
		message.Owners = append(message.Owners, peerapi.OwnerNews{
			Database: string(update.Database),
			Owner:    string(update.Owner),
			Term:     uint64(update.Term),
			Primary:  string(update.Primary),
		})
	}
	for _, update := range heartbeat.Instances {
		item := peerapi.InstanceNews{
			Instance:  string(update.Instance),
			Term:      uint64(update.Term),
			Reachable: update.Reachable,
		}
		if update.Asked {
			item.Asked = peerapi.NewOptBool(true)
		}
		message.Instances = append(message.Instances, item)
	}
	return message
}

// decodeHeartbeat translates a message into a heartbeat.
func decodeHeartbeat(message *peerapi.Heartbeat) fleet.Heartbeat {
	heartbeat := fleet.Heartbeat{
		From:          model.HostID(message.From),
		Address:       model.Address(message.Address.Or("")),
		Incarnation:   model.Incarnation(message.Incarnation),
		Sequence:      model.Sequence(message.Sequence),
		Configuration: model.Version(message.Configuration),
		Leaving:       message.Leaving.Or(false),
	}
	for _, update := range message.Members {
		heartbeat.Members = append(heartbeat.Members, member.Update{
			Host:        model.HostID(update.Host),
			Incarnation: model.Incarnation(update.Incarnation),
			Sequence:    model.Sequence(update.Sequence),
			State:       view.Liveness(update.State),
		})
	}
	for _, update := range message.Owners {
		heartbeat.Owners = append(heartbeat.Owners, fleet.OwnerUpdate{
			Database: model.DatabaseID(update.Database),
			Owner:    model.HostID(update.Owner),
			Term:     model.Term(update.Term),
			Primary:  model.InstanceID(update.Primary),
		})
	}
	for _, update := range message.Instances {
		heartbeat.Instances = append(heartbeat.Instances, fleet.InstanceUpdate{
			Instance:  model.InstanceID(update.Instance),
			Term:      model.Term(update.Term),
			Reachable: update.Reachable,
			Asked:     update.Asked.Or(false),
		})
	}
	return heartbeat
}
