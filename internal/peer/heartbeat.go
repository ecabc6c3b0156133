package peer

import (
	"context"

	"redwingspread/internal/fleet"
	"redwingspread/internal/member"
	"redwingspread/internal/model"
	"redwingspread/internal/view"
	"redwingspread/pkg/api/peerapi"
)

// Heartbeat sends a heartbeat to a host and returns the host's own.
func (c *Client) Heartbeat(ctx context.Context, host model.Host, beat fleet.Heartbeat) (fleet.Heartbeat, error) {
	api, err := c.api(host.Address)
	if err != nil {
		return fleet.Heartbeat{}, err
	}
	answer, err := api.Heartbeat(ctx, EncodeHeartbeat(beat))
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
func EncodeHeartbeat(beat fleet.Heartbeat) *peerapi.Heartbeat {
	message := &peerapi.Heartbeat{
		From:          string(beat.From),
		Address:       peerapi.NewOptString(string(beat.Address)),
		Incarnation:   uint64(beat.Incarnation),
		Sequence:      uint64(beat.Sequence),
		Configuration: uint64(beat.Configuration),
	}
	if beat.Leaving {
		message.Leaving = peerapi.NewOptBool(true)
	}
	for _, news := range beat.Members {
		message.Members = append(message.Members, peerapi.MemberNews{
			Host:        string(news.Host),
			Incarnation: uint64(news.Incarnation),
			Sequence:    uint64(news.Sequence),
			State:       peerapi.MemberNewsState(news.State),
		})
	}
	for _, news := range beat.Owners {
		message.Owners = append(message.Owners, peerapi.OwnerNews{
			Database: string(news.Database),
			Owner:    string(news.Owner),
			Term:     uint64(news.Term),
			Primary:  string(news.Primary),
		})
	}
	for _, news := range beat.Instances {
		told := peerapi.InstanceNews{
			Instance:  string(news.Instance),
			Term:      uint64(news.Term),
			Reachable: news.Reachable,
		}
		if news.Asked {
			told.Asked = peerapi.NewOptBool(true)
		}
		message.Instances = append(message.Instances, told)
	}
	return message
}

// decodeHeartbeat translates a message into a heartbeat.
func decodeHeartbeat(message *peerapi.Heartbeat) fleet.Heartbeat {
	beat := fleet.Heartbeat{
		From:          model.HostID(message.From),
		Address:       model.Address(message.Address.Or("")),
		Incarnation:   model.Incarnation(message.Incarnation),
		Sequence:      model.Sequence(message.Sequence),
		Configuration: model.Version(message.Configuration),
		Leaving:       message.Leaving.Or(false),
	}
	for _, news := range message.Members {
		beat.Members = append(beat.Members, member.Update{
			Host:        model.HostID(news.Host),
			Incarnation: model.Incarnation(news.Incarnation),
			Sequence:    model.Sequence(news.Sequence),
			State:       view.Liveness(news.State),
		})
	}
	for _, news := range message.Owners {
		beat.Owners = append(beat.Owners, fleet.OwnerNews{
			Database: model.DatabaseID(news.Database),
			Owner:    model.HostID(news.Owner),
			Term:     model.Term(news.Term),
			Primary:  model.InstanceID(news.Primary),
		})
	}
	for _, news := range message.Instances {
		beat.Instances = append(beat.Instances, fleet.InstanceNews{
			Instance:  model.InstanceID(news.Instance),
			Term:      model.Term(news.Term),
			Reachable: news.Reachable,
			Asked:     news.Asked.Or(false),
		})
	}
	return beat
}
