package mesh

import (
	"fmt"
	"time"

	"redwingspread/internal/failover"
	"redwingspread/internal/governor"
	"redwingspread/internal/model"
	"redwingspread/pkg/api/meshapi"
)

// EncodeHeartbeat returns the sealed datagram of a beat; ages are counted from now.
func EncodeHeartbeat(key *Key, now time.Time, beat governor.Beat) (datagram []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("mesh: encode beat: %w", err)
		}
	}()
	message := meshapi.Beat{
		Host:        string(beat.Host),
		Incarnation: uint64(beat.Incarnation),
		Sequence:    uint64(beat.Sequence),
		Leaving:     meshapi.NewOptBool(beat.Leaving),
		Version:     uint64(beat.Version),
		Revision:    uint64(beat.Revision),
	}
	for database, sight := range beat.Sights {
		message.Leads = append(message.Leads, meshapi.Sight{
			Database: string(database),
			Instance: string(sight.Instance),
			Term:     meshapi.NewOptUint64(uint64(sight.Term)),
			State:    meshapi.SightState(sight.State),
			Age:      meshapi.NewOptInt64(now.Sub(sight.Since).Milliseconds()),
		})
	}
	message.Counted = meshapi.NewOptBool(beat.Loads != nil)
	if len(beat.Loads) > 0 {
		loads := make(meshapi.BeatLoads, len(beat.Loads))
		for instance, load := range beat.Loads {
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

// DecodeHeartbeat checks the seal of a datagram and returns its beat; times are counted back from now.
func DecodeHeartbeat(key *Key, now time.Time, datagram []byte) (beat governor.Beat, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("mesh: decode beat: %w", err)
		}
	}()
	if len(datagram) < macSize {
		return beat, ErrInvalidMAC
	}
	body := datagram[macSize:]
	if err := key.verifyMAC(purposeHeartbeat, body, datagram[:macSize]); err != nil {
		return beat, err
	}
	var message meshapi.Beat
	if err := message.UnmarshalJSON(body); err != nil {
		return beat, err
	}
	if err := message.Validate(); err != nil {
		return beat, err
	}
	beat = governor.Beat{
		Host:        model.HostID(message.Host),
		Incarnation: model.Incarnation(message.Incarnation),
		Sequence:    model.Sequence(message.Sequence),
		Leaving:     message.Leaving.Value,
		Version:     model.Version(message.Version),
		Revision:    model.Revision(message.Revision),
		Sights:      make(map[model.DatabaseID]failover.Sight, len(message.Leads)),
	}
	if message.Counted.Value {
		beat.Loads = make(map[model.InstanceID]model.Load, len(message.Loads.Value))
		for instance, load := range message.Loads.Value {
			beat.Loads[model.InstanceID(instance)] = model.Load(load)
		}
	}
	for _, sight := range message.Leads {
		beat.Sights[model.DatabaseID(sight.Database)] = failover.Sight{
			Instance: model.InstanceID(sight.Instance),
			Term:     model.Term(sight.Term.Value),
			State:    failover.State(sight.State),
			Since:    now.Add(-model.Milliseconds(sight.Age.Value).Duration()),
		}
	}
	return beat, nil
}
