package capacity

import (
	"redwingspread/internal/fleet"
	"redwingspread/internal/model"
	"redwingspread/internal/peer"
	"redwingspread/pkg/api/endpointapi"
	"redwingspread/pkg/api/platformapi"
)

// Bytes is a number of bytes.
type Bytes int

// encoder is a generated message.
type encoder interface {
	MarshalJSON() ([]byte, error)
}

// sizeOf returns the size of a message's text.
func sizeOf(message encoder) Bytes {
	text, err := message.MarshalJSON()
	if err != nil {
		return 0
	}
	return Bytes(len(text))
}

// sizeOfBeat returns the size of a heartbeat.
func sizeOfBeat(beat fleet.Heartbeat) Bytes { return sizeOf(peer.EncodeHeartbeat(beat)) }

// sizeOfState returns the size of an instance's state.
func sizeOfState(state model.InstanceState) Bytes {
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
	return sizeOf(message)
}

// sizeOfMembers returns the size of the platform's list.
func sizeOfMembers(hosts []model.Host, instances []model.Instance) Bytes {
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
	return sizeOf(message)
}
