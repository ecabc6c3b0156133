package local

import (
	"crypto/rand"
	"fmt"
	"net"
	"net/netip"

	"redwingspread/internal/model"
)

// firstPort is the first port of a deployment's hosts; it is below the operating system's range of ephemeral ports.
const firstPort = 20000

// listenTCP listens on a free port of 127.0.0.1.
func listenTCP() (net.Listener, model.Address, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("local: %w", err)
	}
	return listener, model.Address(listener.Addr().String()), nil
}

// ports allocates addresses on a random loopback IP address, so that two deployments don't collide.
type ports struct {
	ip   netip.Addr
	next uint16
}

// newPorts returns an allocator for a random loopback IP address.
func newPorts() *ports {
	var random [2]byte
	rand.Read(random[:])
	ip := netip.AddrFrom4([4]byte{127, 1 + random[0]%254, random[1], 1})
	return &ports{ip: ip, next: firstPort}
}

// allocate allocates the next address.
func (p *ports) allocate() model.Address {
	address := netip.AddrPortFrom(p.ip, p.next)
	p.next++
	return model.Address(address.String())
}
