package local

import (
	"crypto/rand"
	"net/netip"
	"time"

	"redwingspread/internal/auth"
	"redwingspread/internal/settings"
)

// The limits of each host on what it takes in; all callers have one IP number.
const (
	connectionLimit = 16384
	requestLimit    = 2048
)

// prepareHosts chooses addresses and makes keys for every host.
func (d *Deployment) prepareHosts() error {
	ports := newPorts()
	authority, err := auth.NewAuthority(time.Now(), materialLife)
	if err != nil {
		return err
	}
	d.platformAddress = ports.take()
	tokenKey := settings.Secret(rand.Text())
	for index := range d.Plan.Hosts {
		host := d.prepareHost(index, ports, tokenKey)
		host.material, err = authority.Sign(host.Settings.Host, []netip.Addr{ports.ip}, time.Now())
		if err != nil {
			return err
		}
		s := host.Settings
		d.cuts.know(s.Host, s.CallerAddress, s.PeerAddress, s.OperatorAddress)
		d.Hosts = append(d.Hosts, host)
	}
	return nil
}

// prepareHost chooses the settings of one host.
func (d *Deployment) prepareHost(index int, ports *ports, tokenKey settings.Secret) *Host {
	place := d.Plan.place(index)
	made := &Host{Settings: settings.Serve{
		Host:            d.Plan.hostID(index),
		DataCentre:      place.DataCentre,
		Region:          place.Region,
		CallerAddress:   ports.take(),
		OperatorAddress: ports.take(),
		PeerAddress:     ports.take(),
		PlatformAddress: d.platformAddress,
		TokenKey:        tokenKey,
		ConnectionLimit: connectionLimit,
		RequestLimit:    requestLimit,
		CallerLimit:     requestLimit,
		StopLimit:       d.StopLimit,
		Guard:           "open",
		PublicTLS:       "off",
		Trace:           "none",
		LogLevel:        "info",
	}}
	d.Configure(&made.Settings)
	return made
}
