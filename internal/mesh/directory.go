package mesh

import (
	"errors"
	"fmt"

	"redwingspread/internal/controller"
	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
	"redwingspread/pkg/api/meshapi"
)

// consistencyNames maps consistency levels to their names in messages.
var consistencyNames = map[model.Consistency]meshapi.KindReads{
	model.ReadLatest:     meshapi.KindReadsNewest,
	model.ReadBounded:    meshapi.KindReadsAged,
	model.ReadYourWrites: meshapi.KindReadsOwn,
}

// consistencyLevels maps the names in messages to consistency levels.
var consistencyLevels = map[meshapi.KindReads]model.Consistency{
	meshapi.KindReadsNewest: model.ReadLatest,
	meshapi.KindReadsAged:   model.ReadBounded,
	meshapi.KindReadsOwn:    model.ReadYourWrites,
}

// encodeDirectory returns the parts of what a host knows that are newer than those of the requesting host.
func encodeDirectory(key *Key, query *meshapi.Ask, d *directory.Directory, membership *controller.Membership) (message meshapi.Directory, err error) {
	message = meshapi.Directory{
		Nonce:    query.Nonce,
		Version:  uint64(d.Version),
		Revision: uint64(d.Position.Revision),
		Era:      encodeEra(d.Position),
		Idle:     d.TransactionIdleLimit.Milliseconds(),
	}
	if uint64(d.Version) > query.Version {
		encodeConfiguration(&message, d)
		if err := encodeTenants(key, &message, d); err != nil {
			return message, err
		}
	}
	if d.Position.After(decodePosition(query.Revision, query.Era, d.Position.Era)) {
		encodeInstances(&message, d)
	}
	if membership != nil && query.Rows.Set && membership.Position.After(decodePosition(query.Rows.Value, query.Rowera, membership.Position.Era)) {
		encodeMembership(&message, membership)
	}
	return message, nil
}

// encodeTenants adds the tenants, encrypted since they have the digests of API keys.
func encodeTenants(key *Key, message *meshapi.Directory, d *directory.Directory) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("mesh: encode tenants: %w", err)
		}
	}()
	message.Keyed = meshapi.NewOptBool(d.Keyed)
	if !d.Keyed {
		return nil
	}
	secrets := meshapi.Tenants{Tenants: make([]meshapi.Tenant, 0, len(d.Tenants))}
	for _, tenant := range d.Tenants {
		encoded := meshapi.Tenant{
			Name:    string(tenant.ID),
			Limited: meshapi.NewOptBool(tenant.Limited),
			Rate:    meshapi.NewOptFloat64(float64(tenant.Rate)),
			Burst:   meshapi.NewOptFloat64(float64(tenant.Burst)),
		}
		for _, digest := range tenant.Keys {
			encoded.Keys = append(encoded.Keys, digest[:])
		}
		secrets.Tenants = append(secrets.Tenants, encoded)
	}
	body, err := secrets.MarshalJSON()
	if err != nil {
		return err
	}
	message.Secrets, err = key.encrypt(purposeTenants, body)
	return err
}

// errDigestSize is the error of a digest of an API key that has the wrong length.
var errDigestSize = errors.New("a digest has the wrong length")

// decodeTenants returns the tenants in a message.
func decodeTenants(key *Key, message *meshapi.Directory) (tenants []model.Tenant, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("mesh: decode tenants: %w", err)
		}
	}()
	if !message.Keyed.Value {
		return nil, nil
	}
	body, err := key.decrypt(purposeTenants, message.Secrets)
	if err != nil {
		return nil, err
	}
	var secrets meshapi.Tenants
	if err := secrets.UnmarshalJSON(body); err != nil {
		return nil, err
	}
	for _, encoded := range secrets.Tenants {
		tenant := model.Tenant{
			ID:      model.TenantID(encoded.Name),
			Limited: encoded.Limited.Value,
			Rate:    model.Rate(encoded.Rate.Value),
			Burst:   model.Operations(encoded.Burst.Value),
		}
		for _, digest := range encoded.Keys {
			if len(digest) != len(model.KeyDigest{}) {
				return nil, errDigestSize
			}
			tenant.Keys = append(tenant.Keys, model.KeyDigest(digest))
		}
		tenants = append(tenants, tenant)
	}
	return tenants, nil
}

// encodeMembership adds the hosts and the promotions.
func encodeMembership(message *meshapi.Directory, membership *controller.Membership) {
	message.Rows = meshapi.NewOptUint64(uint64(membership.Position.Revision))
	message.Rowera = encodeEra(membership.Position)
	for _, host := range membership.Hosts {
		message.Hosts = append(message.Hosts, meshapi.Peer{
			Name:        string(host.ID),
			Address:     string(host.Address),
			Centre:      string(host.DataCentre),
			Incarnation: uint64(host.Incarnation),
			Relay:       meshapi.OptString{Value: string(host.Relay), Set: host.Relay != ""},
		})
	}
	for _, promotion := range membership.Promotions {
		message.Promotions = append(message.Promotions, meshapi.Promotion{
			Database: string(promotion.Database),
			Instance: string(promotion.Instance),
			Token:    uint64(promotion.Token),
			Holder:   string(promotion.Holder),
			Nonce:    string(promotion.Nonce),
			Revision: uint64(promotion.Position.Revision),
		})
	}
}

// decodeMembership returns the hosts and the promotions in a message, or nil if it has none; era is the one of a sender that names none.
func decodeMembership(era model.Era, message *meshapi.Directory) *controller.MembershipUpdate {
	if !message.Rows.Set {
		return nil
	}
	update := &controller.MembershipUpdate{Full: true, Position: decodePosition(message.Rows.Value, message.Rowera, era)}
	for _, host := range message.Hosts {
		update.Hosts = append(update.Hosts, controller.Host{
			ID:          model.HostID(host.Name),
			Address:     model.Address(host.Address),
			DataCentre:  model.DataCentreID(host.Centre),
			Incarnation: model.Incarnation(host.Incarnation),
			Relay:       model.Address(host.Relay.Value),
		})
	}
	for _, promotion := range message.Promotions {
		update.Promotions = append(update.Promotions, controller.Promotion{
			Database: model.DatabaseID(promotion.Database),
			Promotion: failover.Promotion{
				Instance: model.InstanceID(promotion.Instance),
				Token:    model.Token(promotion.Token),
				Holder:   model.HostID(promotion.Holder),
			},
			Nonce:    model.Nonce(promotion.Nonce),
			Position: model.StorePosition{Era: update.Position.Era, Revision: model.Revision(promotion.Revision)},
		})
	}
	return update
}

// encodeConfiguration adds the kinds of work and the databases.
func encodeConfiguration(message *meshapi.Directory, d *directory.Directory) {
	for _, kind := range d.Kinds {
		message.Kinds = append(message.Kinds, meshapi.Kind{
			Name:     string(kind.ID),
			Database: string(kind.Database),
			Reads:    consistencyNames[kind.Consistency],
			Age:      int64(model.Millis(kind.MaxAge.Duration())),
			Timeout:  kind.Timeout.Milliseconds(),
			Goal:     kind.Goal.Milliseconds(),
			Rank:     int(kind.Rank),
			Public:   meshapi.NewOptBool(kind.Public),
		})
	}
	for _, database := range d.Databases {
		message.Databases = append(message.Databases, meshapi.Database{
			Name:        string(database.ID),
			Connections: int(database.Connections),
			Sync:        meshapi.NewOptBool(database.SyncCommit),
		})
	}
}

// encodeInstances adds the instances that have an entry; the receiver then notices that the others have lost theirs.
func encodeInstances(message *meshapi.Directory, d *directory.Directory) {
	for id, instance := range d.Instances {
		if d.Missing[id] {
			continue
		}
		message.Instances = append(message.Instances, meshapi.Instance{
			Name:     string(instance.ID),
			Database: string(instance.Database),
			Address:  string(instance.Address),
			Centre:   string(instance.DataCentre),
			Slots:    int(instance.Slots),
			Role:     meshapi.InstanceRole(instance.Role),
			Leaving:  meshapi.NewOptBool(instance.Leaving),
			Cold:     meshapi.NewOptBool(instance.Cold),
			Born:     meshapi.NewOptInt64(instance.Incarnation),
			Revision: uint64(instance.Position.Revision),
		})
	}
}

// decodeDirectory returns the updates in a message; the regions of instances are derived from their data centres, and era is the one of a
// sender that names none.
func decodeDirectory(key *Key, source string, regions map[model.DataCentreID]model.RegionID, era model.Era, message *meshapi.Directory) (update *controller.DirectoryUpdate, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("mesh: decode directory: %w", err)
		}
	}()
	if err := message.Validate(); err != nil {
		return nil, err
	}
	update = &controller.DirectoryUpdate{Source: source}
	if len(message.Kinds) > 0 && message.Keyed.Set { // a host of the previous release would leave the tenants out
		update.Configuration = decodeConfiguration(message)
		if update.Configuration.Tenants, err = decodeTenants(key, message); err != nil {
			return nil, err
		}
	}
	if len(message.Instances) > 0 {
		update.Full = true
		update.Position = decodePosition(message.Revision, message.Era, era)
		update.Newest = update.Position
		update.Entries = decodeInstances(regions, update.Position.Era, message)
	}
	return update, nil
}

// decodeConfiguration returns the configuration in a message.
func decodeConfiguration(message *meshapi.Directory) *directory.Configuration {
	configuration := &directory.Configuration{
		Version:              model.Version(message.Version),
		TransactionIdleLimit: model.Milliseconds(message.Idle).Duration(),
		Keyed:                message.Keyed.Value,
	}
	for _, kind := range message.Kinds {
		configuration.Kinds = append(configuration.Kinds, model.Kind{
			ID:          model.KindID(kind.Name),
			Database:    model.DatabaseID(kind.Database),
			Consistency: consistencyLevels[kind.Reads],
			MaxAge:      model.Age(model.Milliseconds(kind.Age).Duration()),
			Timeout:     model.Milliseconds(kind.Timeout).Duration(),
			Goal:        model.Milliseconds(kind.Goal).Duration(),
			Rank:        model.Rank(kind.Rank),
			Public:      kind.Public.Value,
		})
	}
	for _, database := range message.Databases {
		configuration.Databases = append(configuration.Databases, model.Database{
			ID:          model.DatabaseID(database.Name),
			Connections: model.Connections(database.Connections),
			SyncCommit:  database.Sync.Value,
		})
	}
	return configuration
}

// decodeInstances returns the instances in a message, whose entries were read in an era of the store.
func decodeInstances(regions map[model.DataCentreID]model.RegionID, era model.Era, message *meshapi.Directory) (entries []directory.Entry) {
	for _, instance := range message.Instances {
		entries = append(entries, directory.Entry{Instance: directory.Instance{
			Instance: model.Instance{
				ID:         model.InstanceID(instance.Name),
				Database:   model.DatabaseID(instance.Database),
				Address:    model.Address(instance.Address),
				DataCentre: model.DataCentreID(instance.Centre),
				Region:     regions[model.DataCentreID(instance.Centre)],
				Leaving:    instance.Leaving.Value,
			},
			Slots:       model.Slots(instance.Slots),
			Role:        model.Role(instance.Role),
			Cold:        instance.Cold.Value,
			Incarnation: instance.Born.Value,
			Position:    model.StorePosition{Era: era, Revision: model.Revision(instance.Revision)},
		}})
	}
	return entries
}
