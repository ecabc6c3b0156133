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

	"redwingspread/internal/allowance"
	"redwingspread/internal/boundary"
	"redwingspread/internal/controller"
	"redwingspread/internal/directory"
	"redwingspread/internal/event"
	"redwingspread/internal/limit"
	"redwingspread/internal/model"
	"redwingspread/pkg/api/meshapi"
)

const (
	maxMessageSize = 64 << 10 // bytes of a datagram or an HTTP body
	fetchTimeout   = time.Second
	closeTimeout   = 200 * time.Millisecond
	answerTimeout  = 2 * time.Second // for the directory to be read by the other host, which waits for fetchTimeout
	maxHeaderBytes = 8 << 10

	defaultConnectionLimit = 64 // more than other hosts have open at once, since each fetch closes its connection
)

// Node is one host's end of the communication between hosts.
type Node struct {
	// Host is this host.
	Host model.HostID
	// Address is this host's address for other hosts, over TCP and UDP.
	Address model.Address
	// Regions maps data centres to their regions.
	Regions map[model.DataCentreID]model.RegionID
	// OnHeartbeat is called with each heartbeat and the address it came from; it must not block.
	OnHeartbeat func(heartbeat controller.Heartbeat, from model.Address)
	// OnQuestion is called with each question for tokens and the address it came from; it must not block. Nil drops questions.
	OnQuestion func(question allowance.Question, from model.Address)
	// OnAnswer is called with each answer to a question; it must not block. Nil drops answers.
	OnAnswer func(answer allowance.Answer)
	// Directory returns what this host knows of instances and configuration.
	Directory func() *directory.Directory
	// Membership returns what this host knows of the hosts' rows, or nil where each host reads them itself.
	Membership func() *controller.Membership
	// Logger receives events.
	Logger log.Interface
	// ConnectionLimit is the greatest number of open connections of other hosts.
	ConnectionLimit int
	// Now returns the current time.
	Now func() time.Time

	key    atomic.Pointer[Key]
	socket atomic.Pointer[net.UDPConn]
	client *http.Client
	packer Packer
}

// New returns a node; set its exported fields before Run.
func New() *Node {
	return &Node{
		Now:             time.Now,
		ConnectionLimit: defaultConnectionLimit,
		Membership:      func() *controller.Membership { return nil },
		client: &http.Client{
			Timeout:   fetchTimeout,
			Transport: &http.Transport{DisableKeepAlives: true}, // fetches are rare, and a kept connection may have gone silent
		},
	}
}

// SetKey sets the hosts' shared key; without one nothing is sent and no message is accepted.
func (n *Node) SetKey(key Key) { n.key.Store(&key) }

// Key returns the hosts' shared key, or nil while it is not set.
func (n *Node) Key() *Key { return n.key.Load() }

// Packer returns the node's packer, which takes so much memory that others use it too.
func (n *Node) Packer() *Packer { return &n.packer }

// HasKey reports whether the key is set.
func (n *Node) HasKey() bool { return n.key.Load() != nil }

// Run serves other hosts until the context ends, then sends its result on done.
func (n *Node) Run(ctx context.Context, done chan<- error) {
	done <- n.run(ctx)
}

// run opens the UDP and TCP sockets and serves them.
func (n *Node) run(ctx context.Context) (err error) {
	defer func() {
		if err != nil && ctx.Err() == nil {
			err = fmt.Errorf("mesh: %w", err)
		}
	}()
	address, err := netip.ParseAddrPort(string(n.Address))
	if err != nil {
		return err
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	n.socket.Store(socket)
	listener, err := net.Listen("tcp4", string(n.Address))
	if err != nil {
		return errors.Join(err, socket.Close())
	}
	handler, err := meshapi.NewServer(n)
	if err != nil {
		return errors.Join(err, socket.Close(), listener.Close())
	}
	rotating := limit.NewRotatingListener(listener)
	rotating.Limit = n.ConnectionLimit
	server := &http.Server{
		Handler: http.MaxBytesHandler(handler, maxMessageSize), ReadTimeout: fetchTimeout, WriteTimeout: answerTimeout,
		IdleTimeout: fetchTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	served := make(chan error, 1)
	received := make(chan error, 1)
	go func() { served <- server.Serve(rotating) }()
	go n.receive(ctx, socket, received)
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		event.DependencyLost(n.Logger, "mesh", err)
	}
	err = socket.Close()
	<-served
	<-received
	return errors.Join(err, ctx.Err())
}

// receive passes heartbeats, questions and answers on until the socket is closed, then sends its error on done.
func (n *Node) receive(ctx context.Context, socket *net.UDPConn, done chan<- error) {
	buffer := make([]byte, maxMessageSize)
	for {
		size, from, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, net.ErrClosed) {
				event.DependencyLost(n.Logger, "datagrams", err)
				continue
			}
			done <- err
			return
		}
		key := n.key.Load()
		if key == nil {
			continue // from hosts that have read the key before this one
		}
		err = boundary.Run(func() error {
			heartbeat, err := DecodeHeartbeat(key, n.Now(), buffer[:size])
			if err == nil {
				n.OnHeartbeat(heartbeat, model.Address(from.String()))
			}
			if errors.Is(err, ErrInvalidMAC) { // heartbeats are most frequent, so that the other types are tried after them
				return n.receiveTokens(key, buffer[:size], model.Address(from.String()))
			}
			return err
		})
		if err != nil {
			event.DatagramRefused(n.Logger, from.String(), err)
		}
	}
}

// SendHeartbeat sends a heartbeat to hosts; datagrams that can't be sent count as lost, which heartbeats tolerate.
func (n *Node) SendHeartbeat(to []controller.Receiver, heartbeat controller.Heartbeat) (err error) {
	key, socket := n.key.Load(), n.socket.Load()
	if key == nil || socket == nil {
		return nil
	}
	heartbeat.Packing = packing
	var datagrams [packing + 1][]byte // by what the receiver reads
	for _, receiver := range to {
		read := min(receiver.Packing, packing)
		if datagrams[read] == nil || heartbeat.Lease != nil {
			datagram, encodeErr := n.encodeFor(key, receiver, heartbeat)
			if encodeErr != nil {
				return errors.Join(err, fmt.Errorf("mesh: encode heartbeat: %w", encodeErr))
			}
			datagrams[read] = datagram
		}
		address, parseErr := netip.ParseAddrPort(string(receiver.Address))
		if parseErr != nil {
			err = errors.Join(err, parseErr)
			continue
		}
		if _, sendErr := socket.WriteToUDPAddrPort(datagrams[read], address); sendErr != nil {
			err = errors.Join(err, sendErr)
		}
	}
	return err
}

// encodeFor returns the datagram of a heartbeat with the confirmation for one receiver, packed if the receiver can read that.
func (n *Node) encodeFor(key *Key, receiver controller.Receiver, heartbeat controller.Heartbeat) ([]byte, error) {
	if heartbeat.Lease != nil {
		part := *heartbeat.Lease
		part.Heard = receiver.Heard
		heartbeat.Lease = &part
	}
	body, err := encodeBeat(n.Now(), heartbeat)
	if err == nil && receiver.Packing >= packing {
		body, err = n.packer.Pack(body)
	}
	if err != nil {
		return nil, err
	}
	return sealHeartbeat(key, body), nil
}

// FetchDirectory implements the generated server interface; it handles another host's Fetch.
func (n *Node) FetchDirectory(_ context.Context, request *meshapi.Sealed) (meshapi.FetchDirectoryRes, error) {
	key := n.key.Load()
	var query meshapi.Ask
	if key == nil || key.verifyMAC(purposeRequest, request.Body, request.Seal) != nil || query.UnmarshalJSON(request.Body) != nil {
		event.DatagramRefused(n.Logger, "directory fetch", ErrInvalidMAC)
		return &meshapi.FetchDirectoryDef{StatusCode: http.StatusForbidden}, nil
	}
	message, err := encodeDirectory(key, &query, n.Directory(), n.Membership())
	if err != nil {
		return nil, err
	}
	body, err := message.MarshalJSON()
	if err != nil {
		return nil, err
	}
	return &meshapi.Sealed{Body: body, Seal: key.computeMAC(purposeResponse, body)}, nil
}

// Fetch returns what another host knows and this one does not; the membership is nil if the other host has no newer one.
func (n *Node) Fetch(ctx context.Context, host model.HostID, address model.Address) (update *controller.DirectoryUpdate, membership *controller.MembershipUpdate, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("mesh: fetch from %s: %w", host, err)
		}
	}()
	key := n.key.Load()
	if key == nil {
		return nil, nil, ErrInvalidMAC
	}
	known := n.Directory()
	query := meshapi.Ask{Host: string(n.Host), Nonce: rand.Text(), Version: uint64(known.Version), Revision: uint64(known.Position.Revision), Era: encodeEra(known.Position)}
	rowEra := known.Position.Era
	if membership := n.Membership(); membership != nil {
		rowEra = membership.Position.Era
		query.Rows = meshapi.NewOptUint64(uint64(membership.Position.Revision))
		query.Rowera = encodeEra(membership.Position)
	}
	body, err := query.MarshalJSON()
	if err != nil {
		return nil, nil, err
	}
	client, err := meshapi.NewClient("http://"+string(address), meshapi.WithClient(n.client))
	if err != nil {
		return nil, nil, err
	}
	response, err := client.FetchDirectory(ctx, &meshapi.Sealed{Body: body, Seal: key.computeMAC(purposeRequest, body)})
	if err != nil {
		return nil, nil, err
	}
	sealed, ok := response.(*meshapi.Sealed)
	if !ok {
		return nil, nil, ErrInvalidMAC
	}
	if err := key.verifyMAC(purposeResponse, sealed.Body, sealed.Seal); err != nil {
		return nil, nil, err
	}
	var message meshapi.Directory
	if err := message.UnmarshalJSON(sealed.Body); err != nil {
		return nil, nil, err
	}
	if message.Nonce != query.Nonce {
		return nil, nil, ErrInvalidMAC
	}
	if update, err = decodeDirectory(key, "host "+string(host), n.Regions, known.Position.Era, &message); err != nil {
		return nil, nil, err
	}
	return update, decodeMembership(rowEra, &message), nil
}
