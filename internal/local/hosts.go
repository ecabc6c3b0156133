package local

import (
	"crypto/rand"
	"net/netip"
	"time"

	"redwingspread/internal/auth"
	"redwingspread/internal/settings"
)

// The admission limits of each host. All callers share one IP address, so requestLimit is also the limit per caller address.
const (
	connectionLimit = 16384
	requestLimit    = 2048
)

// prepareHosts assigns addresses and generates keys and certificates for every host.
func (d *Deployment) prepareHosts() error {
	ports := newPorts()
	authority, err := auth.NewAuthority(time.Now(), certificateLifetime)
	if err != nil {
		return err
	}
	d.platformAddress = ports.allocate()
	tokenKey := settings.Secret(rand.Text())
	for index := range d.Plan.Hosts {
		host := d.prepareHost(index, ports, tokenKey)
		host.keyMaterial, err = authority.Sign(host.Settings.Host, []netip.Addr{ports.ip}, time.Now())
		if err != nil {
			return err
		}
		hostSettings := host.Settings
		d.partitions.addHost(hostSettings.Host, hostSettings.CallerAddress, hostSettings.PeerAddress, hostSettings.OperatorAddress)
		d.Hosts = append(d.Hosts, host)
	}
	return nil
}

// prepareHost returns a host with its settings.
func (d *Deployment) prepareHost(index int, ports *ports, tokenKey settings.Secret) *Host {
	location := d.Plan.location(index)
	host := &Host{Settings: settings.Serve{
		Host:            d.Plan.hostID(index),
		DataCentre:      location.DataCentre,
		Region:          location.Region,
		CallerAddress:   ports.allocate(),
		OperatorAddress: ports.allocate(),
		PeerAddress:     ports.allocate(),
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
	d.Configure(&host.Settings)
	return host
}
