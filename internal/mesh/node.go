package mesh

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"redwingspread/internal/directory"
	"redwingspread/internal/event"
	"redwingspread/internal/governor"
	"redwingspread/internal/model"
	"redwingspread/pkg/api/meshapi"
)

const (
	maxMessageSize = 64 << 10 // bytes of a beat
	fetchTimeout   = time.Second
	closeTimeout   = 200 * time.Millisecond
)

// Node is one host's end of the connections between hosts.
type Node struct {
	// Host is this host.
	Host model.HostID
	// Address is where other hosts reach this one, over TCP and UDP.
	Address model.Address
	// Regions maps data centres to their regions.
	Regions map[model.DataCentreID]model.RegionID
	// OnHeartbeat takes each beat and the address that it came from; it must not block.
	OnHeartbeat func(beat governor.Beat, from model.Address)
	// Directory returns what this host knows.
	Directory func() *directory.Directory
	// Logger takes the events.
	Logger log.Interface
	// Now reads the clock.
	Now func() time.Time

	key    atomic.Pointer[Key]
	socket atomic.Pointer[net.UDPConn]
	client *http.Client
}

// New returns a mesh whose exported fields are to be set before Run.
func New() *Node {
	return &Node{
		Now: time.Now,
		client: &http.Client{
			Timeout:   fetchTimeout,
			Transport: &http.Transport{DisableKeepAlives: true}, // fetches are rare, and kept connections may have gone silent
		},
	}
}

// SetKey sets the hosts' common key; without one nothing is sent and all that comes is refused.
func (m *Node) SetKey(key Key) { m.key.Store(&key) }

// HasKey reports whether the key is known.
func (m *Node) HasKey() bool { return m.key.Load() != nil }

// Run serves other hosts until the context ends and reports its end on done.
func (m *Node) Run(ctx context.Context, done chan<- error) {
	done <- m.run(ctx)
}

// run opens both sockets and serves them.
func (m *Node) run(ctx context.Context) (err error) {
	defer func() {
		if err != nil && ctx.Err() == nil {
			err = fmt.Errorf("mesh: %w", err)
		}
	}()
	address, err := netip.ParseAddrPort(string(m.Address))
	if err != nil {
		return err
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	m.socket.Store(socket)
	listener, err := net.Listen("tcp4", string(m.Address))
	if err != nil {
		return errors.Join(err, socket.Close())
	}
	handler, err := meshapi.NewServer(m)
	if err != nil {
		return errors.Join(err, socket.Close(), listener.Close())
	}
	server := &http.Server{Handler: http.MaxBytesHandler(handler, maxMessageSize), ReadTimeout: fetchTimeout}
	served := make(chan error, 1)
	received := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	go m.receive(ctx, socket, received)
	<-ctx.Done()
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if err := server.Shutdown(limited); err != nil {
		event.DependencyLost(m.Logger, "mesh", err)
	}
	err = socket.Close()
	<-served
	<-received
	return errors.Join(err, ctx.Err())
}

// receive hands on beats until the socket is closed, and reports its end on done.
func (m *Node) receive(ctx context.Context, socket *net.UDPConn, done chan<- error) {
	buffer := make([]byte, maxMessageSize)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				event.DependencyLost(m.Logger, "datagrams", err)
				continue
			}
			done <- err
			return
		}
		key := m.key.Load()
		if key == nil {
			continue // beats of hosts that were faster to read the key
		}
		beat, err := DecodeHeartbeat(key, m.Now(), buffer[:n])
		if err != nil {
			event.DatagramRefused(m.Logger, from.String(), err)
			continue
		}
		m.OnHeartbeat(beat, model.Address(from.String()))
	}
}

// SendHeartbeat sends a beat to hosts; a datagram that can't be sent is as good as lost, which beats allow for.
func (m *Node) SendHeartbeat(to []model.Address, beat governor.Beat) (err error) {
	key, socket := m.key.Load(), m.socket.Load()
	if key == nil || socket == nil {
		return nil
	}
	datagram, err := EncodeHeartbeat(key, m.Now(), beat)
	if err != nil {
		return err
	}
	for _, address := range to {
		receiver, parseErr := netip.ParseAddrPort(string(address))
		if parseErr != nil {
			err = errors.Join(err, parseErr)
			continue
		}
		if _, sendErr := socket.WriteToUDPAddrPort(datagram, receiver); sendErr != nil {
			err = errors.Join(err, sendErr)
		}
	}
	return err
}

// FetchDirectory answers another host's fetch.
func (m *Node) FetchDirectory(_ context.Context, request *meshapi.Sealed) (meshapi.FetchDirectoryRes, error) {
	key := m.key.Load()
	var ask meshapi.Ask
	if key == nil || key.verifyMAC(purposeRequest, request.Body, request.Seal) != nil || ask.UnmarshalJSON(request.Body) != nil {
		event.DatagramRefused(m.Logger, "a fetch", ErrInvalidMAC)
		return &meshapi.FetchDirectoryDef{StatusCode: http.StatusForbidden}, nil
	}
	message := encodeDirectory(&ask, m.Directory())
	body, err := message.MarshalJSON()
	if err != nil {
		return nil, err
	}
	return &meshapi.Sealed{Body: body, Seal: key.computeMAC(purposeResponse, body)}, nil
}

// Fetch returns what another host knows.
func (m *Node) Fetch(ctx context.Context, host model.HostID, address model.Address) (news *governor.News, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("mesh: fetch from %s: %w", host, err)
		}
	}()
	key := m.key.Load()
	if key == nil {
		return nil, ErrInvalidMAC
	}
	known := m.Directory()
	ask := meshapi.Ask{Host: string(m.Host), Nonce: rand.Text(), Version: uint64(known.Version), Revision: uint64(known.Revision)}
	body, err := ask.MarshalJSON()
	if err != nil {
		return nil, err
	}
	client, err := meshapi.NewClient("http://"+string(address), meshapi.WithClient(m.client))
	if err != nil {
		return nil, err
	}
	response, err := client.FetchDirectory(ctx, &meshapi.Sealed{Body: body, Seal: key.computeMAC(purposeRequest, body)})
	if err != nil {
		return nil, err
	}
	sealed, ok := response.(*meshapi.Sealed)
	if !ok {
		return nil, ErrInvalidMAC
	}
	if err := key.verifyMAC(purposeResponse, sealed.Body, sealed.Seal); err != nil {
		return nil, err
	}
	var message meshapi.Directory
	if err := message.UnmarshalJSON(sealed.Body); err != nil {
		return nil, err
	}
	if message.Nonce != ask.Nonce {
		return nil, ErrInvalidMAC
	}
	return decodeDirectory("host "+string(host), m.Regions, &message)
}
