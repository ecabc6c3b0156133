package mesh

import (
	"fmt"
	"time"

	"redwingspread/internal/controller"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
	"redwingspread/pkg/api/meshapi"
)

// EncodeBeat returns the sealed datagram of a beat; ages are counted from now.
func EncodeBeat(key *Key, now time.Time, beat controller.Heartbeat) (datagram []byte, err error) {
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
	for database, sight := range beat.Primaries {
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
	return append(key.seal(purposeBeat, body), body...), nil
}

// DecodeBeat checks the seal of a datagram and returns its beat; times are counted back from now.
func DecodeBeat(key *Key, now time.Time, datagram []byte) (beat controller.Heartbeat, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("mesh: decode beat: %w", err)
		}
	}()
	if len(datagram) < sealSize {
		return beat, ErrSeal
	}
	body := datagram[sealSize:]
	if err := key.check(purposeBeat, body, datagram[:sealSize]); err != nil {
		return beat, err
	}
	var message meshapi.Beat
	if err := message.UnmarshalJSON(body); err != nil {
		return beat, err
	}
	if err := message.Validate(); err != nil {
		return beat, err
	}
	beat = controller.Heartbeat{
		Host:        model.HostID(message.Host),
		Incarnation: model.Incarnation(message.Incarnation),
		Sequence:    model.Sequence(message.Sequence),
		Leaving:     message.Leaving.Value,
		Version:     model.Version(message.Version),
		Revision:    model.Revision(message.Revision),
		Primaries:   make(map[model.DatabaseID]failover.Observation, len(message.Leads)),
	}
	if message.Counted.Value {
		beat.Loads = make(map[model.InstanceID]model.Load, len(message.Loads.Value))
		for instance, load := range message.Loads.Value {
			beat.Loads[model.InstanceID(instance)] = model.Load(load)
		}
	}
	for _, sight := range message.Leads {
		beat.Primaries[model.DatabaseID(sight.Database)] = failover.Observation{
			Instance: model.InstanceID(sight.Instance),
			Term:     model.Term(sight.Term.Value),
			State:    failover.State(sight.State),
			Since:    now.Add(-model.Milliseconds(sight.Age.Value).Duration()),
		}
	}
	return beat, nil
}
