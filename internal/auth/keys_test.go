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

// loopback is the address of every host of the tests.
var loopback = []netip.Addr{netip.MustParseAddr("127.0.0.1")}

// newAuthority returns a new authority whose certificates last from the time for an hour.
func newAuthority(t *testing.T, from time.Time) *Authority {
	t.Helper()
	made, err := NewAuthority(from, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return made
}

// signKeys returns a host's keys after a change of its material.
func signKeys(t *testing.T, a *Authority, host model.HostID, at []netip.Addr, accepts ...*Authority) *Keys {
	t.Helper()
	material, err := a.Sign(host, at, a.certificate.NotBefore)
	if err != nil {
		t.Fatal(err)
	}
	for _, other := range accepts {
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
		want           bool
		told           bool // the server tells of the refused client
	}{
		"same authority":                {signKeys(t, current, "a", loopback), signKeys(t, current, "b", loopback), true, false},
		"server of another authority":   {signKeys(t, other, "a", loopback, current), signKeys(t, current, "b", loopback), false, false},
		"client of another authority":   {signKeys(t, current, "a", loopback), signKeys(t, other, "b", loopback, current), false, true},
		"expired server":                {signKeys(t, expired, "a", loopback, current), signKeys(t, current, "b", loopback, expired), false, false},
		"expired client":                {signKeys(t, current, "a", loopback, expired), signKeys(t, expired, "b", loopback, current), false, true},
		"client of tomorrow":            {signKeys(t, current, "a", loopback, future), signKeys(t, future, "b", loopback, current), false, true},
		"server at another address":     {signKeys(t, current, "a", []netip.Addr{netip.MustParseAddr("127.0.0.9")}), signKeys(t, current, "b", loopback), false, false},
		"change of keys, both accepted": {signKeys(t, current, "a", loopback, other), signKeys(t, other, "b", loopback, current), true, false},
		"change of keys, new to old":    {signKeys(t, other, "a", loopback, current), signKeys(t, current, "b", loopback, other), true, false},
		"client without certificate":    {signKeys(t, current, "a", loopback), nil, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var refused []string
			test.server.OnRefused = func(name string, _ error) { refused = append(refused, name) }
			peer, err := handshake(t, test.server, test.client)
			if got := err == nil; got != test.want {
				t.Fatalf("got %v (%v), want %v", got, err, test.want)
			}
			if got := slices.Equal(refused, []string{"b"}); got != test.told {
				t.Errorf("got %q told as refused, want it told %v", refused, test.told)
			}
			if test.want && peer != "b" {
				t.Errorf("got peer %q, want b", peer)
			}
		})
	}
}

// handshake connects a client to a server and returns the host that the server saw.
func handshake(t *testing.T, server, client *Keys) (peer model.HostID, err error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server.ServerTLS())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { err = errors.Join(err, listener.Close()) }()
	seen := make(chan error, 1)
	go func() { seen <- serveOne(listener, &peer) }()
	dialErr := dialOne(listener.Addr().String(), client)
	return peer, errors.Join(dialErr, <-seen)
}

// serveOne takes one connection, notes its host and sends one byte.
func serveOne(listener net.Listener, peer *model.HostID) error {
	connection, err := listener.Accept()
	if err != nil {
		return err
	}
	defer connection.Close()
	secured := connection.(*tls.Conn)
	if err := secured.Handshake(); err != nil {
		return err
	}
	if *peer, err = PeerHost(secured.ConnectionState()); err != nil {
		return err
	}
	_, err = connection.Write([]byte{1})
	return err
}

// dialOne connects and reads one byte, which tells that the server took the client.
func dialOne(address string, client *Keys) error {
	settings := &tls.Config{InsecureSkipVerify: true}
	if client != nil {
		settings = client.ClientTLS()
	}
	connection, err := tls.Dial("tcp", address, settings)
	if err != nil {
		return err
	}
	defer connection.Close()
	_, err = io.ReadFull(connection, make([]byte, 1))
	return err
}

func TestLoadKeys(t *testing.T) {
	sound, err := newAuthority(t, time.Now()).Sign("a", loopback, time.Now())
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
		"sound":              {sound, ""},
		"nothing":            {KeyMaterial{}, "load keys"},
		"key of another":     {KeyMaterial{sound.Certificate, other.Key, sound.Authorities}, "private key does not match"},
		"key cut short":      {KeyMaterial{sound.Certificate, sound.Key[:80], sound.Authorities}, "load keys"},
		"no authority":       {KeyMaterial{sound.Certificate, sound.Key, ""}, "no authority"},
		"authority in words": {KeyMaterial{sound.Certificate, sound.Key, "ours"}, "no authority"},
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
