package mesh

import (
	"fmt"
	"time"

	"redwingspread/internal/controller"
	"redwingspread/internal/failover"
	"redwingspread/internal/lease"
	"redwingspread/internal/model"
	"redwingspread/internal/scout"
	"redwingspread/pkg/api/meshapi"
)

// EncodeHeartbeat returns the datagram of a heartbeat with its MAC; ages are relative to now.
func EncodeHeartbeat(key *Key, now time.Time, heartbeat controller.Heartbeat) (datagram []byte, err error) {
	body, err := encodeBeat(now, heartbeat)
	if err != nil {
		return nil, fmt.Errorf("mesh: encode heartbeat: %w", err)
	}
	return sealHeartbeat(key, body), nil
}

// sealHeartbeat returns the datagram of a plain or packed body.
func sealHeartbeat(key *Key, body []byte) []byte {
	return append(key.computeMAC(purposeHeartbeat, body), body...)
}

// encodeBeat returns the body of a heartbeat.
func encodeBeat(now time.Time, heartbeat controller.Heartbeat) ([]byte, error) {
	message := meshapi.Beat{
		Host:        string(heartbeat.Host),
		Incarnation: uint64(heartbeat.Incarnation),
		Sequence:    uint64(heartbeat.Sequence),
		Leaving:     meshapi.NewOptBool(heartbeat.Leaving),
		Version:     uint64(heartbeat.Version),
		Revision:    uint64(heartbeat.Position.Revision),
		Era:         encodeEra(heartbeat.Position),
		Rows:        meshapi.NewOptUint64(uint64(heartbeat.Rows.Revision)),
		Rowera:      encodeEra(heartbeat.Rows),
	}
	if heartbeat.Follows {
		message.Follows = meshapi.NewOptBool(true)
	}
	if heartbeat.Packing != 0 {
		message.Packs = meshapi.NewOptUint(uint(heartbeat.Packing))
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
	if heartbeat.Asked != 0 {
		message.Asked = meshapi.NewOptInt64(int64(heartbeat.Asked))
	}
	for _, proof := range heartbeat.Proofs {
		message.Proofs = append(message.Proofs, meshapi.Proof{
			Database: string(proof.Database),
			Instance: string(proof.Instance),
			Term:     uint64(proof.Point.Term),
			Position: uint64(proof.Point.Position),
			Asked:    int64(proof.SentAt),
		})
	}
	if heartbeat.Lease != nil {
		encodeLease(&message, heartbeat.Lease)
	}
	return message.MarshalJSON()
}

// DecodeHeartbeat verifies the MAC of a datagram and returns its heartbeat; ages become times relative to now.
func DecodeHeartbeat(key *Key, now time.Time, datagram []byte) (heartbeat controller.Heartbeat, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("mesh: decode heartbeat: %w", err)
		}
	}()
	if len(datagram) < MACSize {
		return heartbeat, ErrInvalidMAC
	}
	body := datagram[MACSize:]
	if err := key.verifyMAC(purposeHeartbeat, body, datagram[:MACSize]); err != nil {
		return heartbeat, err
	}
	if body, err = Unpack(body); err != nil {
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
		Position:    decodePosition(message.Revision, message.Era, 0),
		Rows:        decodePosition(message.Rows.Value, message.Rowera, 0),
		Undated:     !message.Era.Set,
		Follows:     message.Follows.Value,
		Packing:     model.Packing(message.Packs.Value),
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
	heartbeat.Lease = decodeLease(&message)
	heartbeat.Asked = model.Instant(message.Asked.Value)
	for _, proof := range message.Proofs {
		heartbeat.Proofs = append(heartbeat.Proofs, scout.Proof{
			Database: model.DatabaseID(proof.Database),
			Instance: model.InstanceID(proof.Instance),
			Point:    model.Point{Term: model.Term(proof.Term), Position: model.Position(proof.Position)},
			SentAt:   model.Instant(proof.Asked),
		})
	}
	return heartbeat, nil
}

// encodeEra returns the era of a position.
func encodeEra(position model.StorePosition) meshapi.OptUint64 {
	return meshapi.NewOptUint64(uint64(position.Era))
}

// decodePosition returns the position of a revision, in the given era if the sender, a host of the release before, names none.
func decodePosition(revision uint64, era meshapi.OptUint64, otherwise model.Era) model.StorePosition {
	return model.StorePosition{Era: model.Era(era.Or(uint64(otherwise))), Revision: model.Revision(revision)}
}

// encodeLease adds the lease part of a heartbeat.
func encodeLease(message *meshapi.Beat, part *lease.Message) {
	message.Sent = meshapi.NewOptInt64(millisecondsOf(part.Sent))
	if part.Digest != 0 {
		message.Digest = meshapi.NewOptInt64(int64(part.Digest))
	}
	if part.Heard != 0 {
		message.Heard = meshapi.NewOptInt64(millisecondsOf(part.Heard))
	}
	if len(part.Released) > 0 {
		released := make(meshapi.BeatReleased, len(part.Released))
		for database, token := range part.Released {
			released[string(database)] = int64(token)
		}
		message.Released = meshapi.NewOptBeatReleased(released)
	}
	for _, id := range part.Silent {
		message.Silent = append(message.Silent, string(id))
	}
	for _, assignment := range part.Assignments {
		message.Assigned = append(message.Assigned, meshapi.Assignment{
			Database: string(assignment.Database),
			Instance: string(assignment.Instance),
			Token:    int64(assignment.Token),
		})
	}
}

// millisecondsOf returns the whole milliseconds of an instant.
func millisecondsOf(at model.Instant) int64 { return int64(at) / int64(time.Millisecond) }

// instantOf returns the instant of a number of milliseconds.
func instantOf(milliseconds int64) model.Instant {
	return model.Instant(model.Milliseconds(milliseconds).Duration())
}

// decodeLease returns the lease part of a heartbeat, or nil if there is none.
func decodeLease(message *meshapi.Beat) *lease.Message {
	if !message.Sent.Set {
		return nil
	}
	part := &lease.Message{
		Sent:   instantOf(message.Sent.Value),
		Heard:  instantOf(message.Heard.Value),
		Digest: lease.Digest(message.Digest.Value),
	}
	if message.Released.Set {
		part.Released = make(map[model.DatabaseID]model.Token, len(message.Released.Value))
	}
	for database, token := range message.Released.Value {
		part.Released[model.DatabaseID(database)] = model.Token(token)
	}
	for _, id := range message.Silent {
		part.Silent = append(part.Silent, model.HostID(id))
	}
	for _, assignment := range message.Assigned {
		part.Assignments = append(part.Assignments, lease.Assignment{
			Database: model.DatabaseID(assignment.Database),
			Instance: model.InstanceID(assignment.Instance),
			Token:    model.Token(assignment.Token),
		})
	}
	return part
}
