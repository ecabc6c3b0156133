package auth

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"redwingspread/internal/model"
)

// loopback is the address of the hosts in the tests.
var loopback = []netip.Addr{netip.MustParseAddr("127.0.0.1")}

// newAuthority returns an authority whose certificates are valid for an hour from the time.
func newAuthority(t *testing.T, from time.Time) *Authority {
	t.Helper()
	authority, err := NewAuthority(from, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// signKeys returns a host's keys, which also trust the other given authorities.
func signKeys(t *testing.T, a *Authority, host model.HostID, addresses []netip.Addr, trusted ...*Authority) *Keys {
	t.Helper()
	material, err := a.Sign(host, addresses, a.certificate.NotBefore)
	if err != nil {
		t.Fatal(err)
	}
	for _, other := range trusted {
		material.Authorities += other.PEM()
	}
	keys, err := LoadKeys(material)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

func TestMutualTLS(t *testing.T) {
	now := time.Now()
	current, other := newAuthority(t, now), newAuthority(t, now)
	expired := newAuthority(t, now.Add(-24*time.Hour))
	future := newAuthority(t, now.Add(24*time.Hour))
	tests := map[string]struct {
		server, client *Keys
		want           bool // whether the handshake succeeds
		reported       bool // whether the server reports the refused client
	}{
		"same authority":                  {signKeys(t, current, "a", loopback), signKeys(t, current, "b", loopback), true, false},
		"server of another authority":     {signKeys(t, other, "a", loopback, current), signKeys(t, current, "b", loopback), false, false},
		"client of another authority":     {signKeys(t, current, "a", loopback), signKeys(t, other, "b", loopback, current), false, true},
		"expired server":                  {signKeys(t, expired, "a", loopback, current), signKeys(t, current, "b", loopback, expired), false, false},
		"expired client":                  {signKeys(t, current, "a", loopback, expired), signKeys(t, expired, "b", loopback, current), false, true},
		"client not yet valid":            {signKeys(t, current, "a", loopback, future), signKeys(t, future, "b", loopback, current), false, true},
		"server at another address":       {signKeys(t, current, "a", []netip.Addr{netip.MustParseAddr("127.0.0.9")}), signKeys(t, current, "b", loopback), false, false},
		"change of authority, new client": {signKeys(t, current, "a", loopback, other), signKeys(t, other, "b", loopback, current), true, false},
		"change of authority, new server": {signKeys(t, other, "a", loopback, current), signKeys(t, current, "b", loopback, other), true, false},
		"client without certificate":      {signKeys(t, current, "a", loopback), nil, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var refused []string
			test.server.OnRefused = func(name string, _ error) { refused = append(refused, name) }
			peer, err := handshake(t, test.server, test.client)
			if got := err == nil; got != test.want {
				t.Fatalf("got %v (%v), want %v", got, err, test.want)
			}
			if got := slices.Equal(refused, []string{"b"}); got != test.reported {
				t.Errorf("got %q reported as refused, want a report %v", refused, test.reported)
			}
			if test.want && peer != "b" {
				t.Errorf("got peer %q, want b", peer)
			}
		})
	}
}

// handshake connects a client to a server and returns the client's host as the server sees it.
func handshake(t *testing.T, server, client *Keys) (peer model.HostID, err error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server.ServerTLS())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { err = errors.Join(err, listener.Close()) }()
	served := make(chan error, 1)
	go func() { served <- serveOne(listener, &peer) }()
	dialErr := dialOne(listener.Addr().String(), client)
	return peer, errors.Join(dialErr, <-served)
}

// serveOne accepts one connection, stores the peer's host and sends one byte.
func serveOne(listener net.Listener, peer *model.HostID) error {
	connection, err := listener.Accept()
	if err != nil {
		return err
	}
	defer connection.Close()
	tlsConn := connection.(*tls.Conn)
	if err := tlsConn.Handshake(); err != nil {
		return err
	}
	if *peer, err = PeerHost(tlsConn.ConnectionState()); err != nil {
		return err
	}
	_, err = connection.Write([]byte{1})
	return err
}

// dialOne connects and reads one byte, which proves that the server accepted the client.
func dialOne(address string, client *Keys) error {
	config := &tls.Config{InsecureSkipVerify: true}
	if client != nil {
		config = client.ClientTLS()
	}
	connection, err := tls.Dial("tcp", address, config)
	if err != nil {
		return err
	}
	defer connection.Close()
	_, err = io.ReadFull(connection, make([]byte, 1))
	return err
}

func TestLoadKeys(t *testing.T) {
	valid, err := newAuthority(t, time.Now()).Sign("a", loopback, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	other, err := newAuthority(t, time.Now()).Sign("a", loopback, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		material KeyMaterial
		want     string
	}{
		"valid":               {valid, ""},
		"empty":               {KeyMaterial{}, "load keys"},
		"key of another host": {KeyMaterial{valid.Certificate, other.Key, valid.Authorities}, "private key does not match"},
		"truncated key":       {KeyMaterial{valid.Certificate, valid.Key[:80], valid.Authorities}, "load keys"},
		"no authority":        {KeyMaterial{valid.Certificate, valid.Key, ""}, "no authority"},
		"authority not PEM":   {KeyMaterial{valid.Certificate, valid.Key, "ours"}, "no authority"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := LoadKeys(test.material)
			if (err == nil) != (test.want == "") || err != nil && !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want %q", err, test.want)
			}
			if err != nil && test.material.Key != "" && strings.Contains(err.Error(), test.material.Key[40:70]) {
				t.Error("got the private key in the error, want it hidden")
			}
		})
	}
}
