package local

import (
	"crypto/rand"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/settings"
	"redwingspread/internal/trust"
)

// The limits of each host on what it takes in; all callers have one IP number.
const (
	connectionLimit = 16384
	requestLimit    = 2048
)

// prepareHosts chooses addresses and makes keys for every host.
func (d *Deployment) prepareHosts() (err error) {
	d.platformAddress, err = freeTCP()
	if err != nil {
		return err
	}
	tokenKey := settings.Secret(rand.Text())
	var names []model.HostID
	for index := range d.Plan.Hosts {
		host, err := d.prepareHost(index, tokenKey)
		if err != nil {
			return err
		}
		d.Hosts = append(d.Hosts, host)
		names = append(names, host.Settings.Host)
	}
	d.materials, err = trust.Generate(names, time.Now(), materialLife)
	return err
}

// prepareHost chooses the settings of one host.
func (d *Deployment) prepareHost(index int, tokenKey settings.Secret) (*Host, error) {
	caller, err := freeTCP()
	if err != nil {
		return nil, err
	}
	operator, err := freeTCP()
	if err != nil {
		return nil, err
	}
	peer, err := freeUDP()
	if err != nil {
		return nil, err
	}
	place := d.Plan.place(index)
	return &Host{Settings: settings.Serve{
		Host:            d.Plan.hostID(index),
		DataCentre:      place.DataCentre,
		Region:          place.Region,
		CallerAddress:   caller,
		OperatorAddress: operator,
		PeerAddress:     peer,
		PlatformAddress: d.platformAddress,
		TokenKey:        tokenKey,
		ConnectionLimit: connectionLimit,
		RequestLimit:    requestLimit,
		CallerLimit:     requestLimit,
		StopLimit:       d.StopLimit,
		Trace:           "none",
		LogLevel:        "info",
	}}, nil
}
