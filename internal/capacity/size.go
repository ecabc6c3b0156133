package capacity

import (
	"redwingspread/internal/fleet"
	"redwingspread/internal/model"
	"redwingspread/internal/peer"
	"redwingspread/pkg/api/endpointapi"
	"redwingspread/pkg/api/platformapi"
)

// Bytes is a size in bytes.
type Bytes int

// jsonMessage is a generated message that encodes itself as JSON.
type jsonMessage interface {
	MarshalJSON() ([]byte, error)
}

// encodedSize returns the size of a message as JSON, or zero if it can't be encoded.
func encodedSize(message jsonMessage) Bytes {
	encoded, err := message.MarshalJSON()
	if err != nil {
		return 0
	}
	return Bytes(len(encoded))
}

// heartbeatSize returns the encoded size of a heartbeat.
func heartbeatSize(heartbeat fleet.Heartbeat) Bytes {
	return encodedSize(peer.EncodeHeartbeat(heartbeat))
}

// stateSize returns the encoded size of the state of an instance.
func stateSize(state model.InstanceState) Bytes {
	message := &endpointapi.InstanceState{
		Instance: string(state.Instance),
		Database: string(state.Database),
		Role:     endpointapi.Role(state.Role),
		Term:     uint64(state.Term),
		Point:    endpointapi.Point{Term: uint64(state.Point.Term), Position: uint64(state.Point.Position)},
		Slots:    int(state.Slots),
	}
	for _, start := range state.Timeline {
		message.Timeline = append(message.Timeline, endpointapi.Point{Term: uint64(start.Term), Position: uint64(start.Position)})
	}
	return encodedSize(message)
}

// memberListSize returns the encoded size of the platform's list of members.
func memberListSize(hosts []model.Host, instances []model.Instance) Bytes {
	message := &platformapi.Members{}
	for _, host := range hosts {
		message.Members = append(message.Members, platformapi.Member{
			Role:       platformapi.MemberRoleHost,
			ID:         string(host.ID),
			Address:    string(host.Address),
			DataCentre: string(host.DataCentre),
			Region:     string(host.Region),
		})
	}
	for _, instance := range instances {
		message.Members = append(message.Members, platformapi.Member{
			Role:       platformapi.MemberRoleEndpoint,
			ID:         string(instance.ID),
			Address:    string(instance.Address),
			DataCentre: string(instance.DataCentre),
			Region:     string(instance.Region),
			Database:   platformapi.NewOptString(string(instance.Database)),
		})
	}
	return encodedSize(message)
}
