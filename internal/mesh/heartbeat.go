package mesh

import (
	"fmt"
	"time"

	"redwingspread/internal/controller"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
	"redwingspread/pkg/api/meshapi"
)

// EncodeHeartbeat returns the datagram of a heartbeat with its MAC; ages are relative to now.
func EncodeHeartbeat(key *Key, now time.Time, heartbeat controller.Heartbeat) (datagram []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("mesh: encode heartbeat: %w", err)
		}
	}()
	message := meshapi.Beat{
		Host:        string(heartbeat.Host),
		Incarnation: uint64(heartbeat.Incarnation),
		Sequence:    uint64(heartbeat.Sequence),
		Leaving:     meshapi.NewOptBool(heartbeat.Leaving),
		Version:     uint64(heartbeat.Version),
		Revision:    uint64(heartbeat.Revision),
	}
	for database, observation := range heartbeat.Primaries {
		message.Leads = append(message.Leads, meshapi.Sight{
			Database: string(database),
			Instance: string(observation.Instance),
			Term:     meshapi.NewOptUint64(uint64(observation.Term)),
			State:    meshapi.SightState(observation.State),
			Age:      meshapi.NewOptInt64(now.Sub(observation.Since).Milliseconds()),
		})
	}
	message.Counted = meshapi.NewOptBool(heartbeat.Loads != nil)
	if len(heartbeat.Loads) > 0 {
		loads := make(meshapi.BeatLoads, len(heartbeat.Loads))
		for instance, load := range heartbeat.Loads {
			loads[string(instance)] = int(load)
		}
		message.Loads = meshapi.NewOptBeatLoads(loads)
	}
	body, err := message.MarshalJSON()
	if err != nil {
		return nil, err
	}
	return append(key.computeMAC(purposeHeartbeat, body), body...), nil
}

// DecodeHeartbeat verifies the MAC of a datagram and returns its heartbeat; ages become times relative to now.
func DecodeHeartbeat(key *Key, now time.Time, datagram []byte) (heartbeat controller.Heartbeat, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("mesh: decode heartbeat: %w", err)
		}
	}()
	if len(datagram) < macSize {
		return heartbeat, ErrInvalidMAC
	}
	body := datagram[macSize:]
	if err := key.verifyMAC(purposeHeartbeat, body, datagram[:macSize]); err != nil {
		return heartbeat, err
	}
	var message meshapi.Beat
	if err := message.UnmarshalJSON(body); err != nil {
		return heartbeat, err
	}
	if err := message.Validate(); err != nil {
		return heartbeat, err
	}
	heartbeat = controller.Heartbeat{
		Host:        model.HostID(message.Host),
		Incarnation: model.Incarnation(message.Incarnation),
		Sequence:    model.Sequence(message.Sequence),
		Leaving:     message.Leaving.Value,
		Version:     model.Version(message.Version),
		Revision:    model.Revision(message.Revision),
		Primaries:   make(map[model.DatabaseID]failover.Observation, len(message.Leads)),
	}
	if message.Counted.Value {
		heartbeat.Loads = make(map[model.InstanceID]model.Load, len(message.Loads.Value))
		for instance, load := range message.Loads.Value {
			heartbeat.Loads[model.InstanceID(instance)] = model.Load(load)
		}
	}
	for _, observation := range message.Leads {
		heartbeat.Primaries[model.DatabaseID(observation.Database)] = failover.Observation{
			Instance: model.InstanceID(observation.Instance),
			Term:     model.Term(observation.Term.Value),
			State:    failover.State(observation.State),
			Since:    now.Add(-model.Milliseconds(observation.Age.Value).Duration()),
		}
	}
	return heartbeat, nil
}
