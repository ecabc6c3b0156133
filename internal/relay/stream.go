package relay

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"redwingspread/internal/mesh"
	"redwingspread/internal/model"
	"redwingspread/pkg/api/meshapi"
)

const (
	messageLimit    = 4 << 20          // bytes of one message
	helloLimit      = 1 << 10          // bytes of the first message, whose sender is not authenticated yet
	packFrom        = 192              // bytes of a message from which packing saves more than it costs
	packMost        = 32 << 10         // bytes of a message up to which it is packed, below the limit of mesh.Unpack
	keptBufferLimit = 64 << 10         // bytes of an output buffer that is kept for the next message
	readBufferSize  = 4 << 10          // bytes; most messages fit
	headerSize      = 4 + mesh.MACSize // length and MAC
	writeTimeout    = 2 * time.Second  // after which a host that doesn't read is given up
	helloTimeout    = time.Second      // for the first message of a stream
)

// Purposes of the keys of a stream.
const (
	purposeHello   = "relay hello"
	purposeCalls   = "relay calls"
	purposeReplies = "relay replies"
)

// errTooLarge is returned for a message over messageLimit; nothing of it has been sent.
var errTooLarge = errors.New("the message is too large")

// stream is one end of a connection between two hosts. Each message has a MAC under a key of this stream and direction, which
// includes the message's number, so that none can be replayed, left out or reordered.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	peer   model.HostID
	limit  uint32       // bytes of a message that is read
	packer *mesh.Packer // of messages that are sent; nil for none

	sealKey, openKey mesh.Key
	received         uint64       // messages
	heard            atomic.Int64 // time of the newest message received, in nanoseconds since the Unix epoch

	mutex sync.Mutex // guards writing
	sent  uint64     // messages
	out   []byte
}

// newStream returns the stream on a connection before its keys have been agreed on.
func newStream(conn net.Conn) *stream {
	return &stream{conn: conn, limit: helloLimit, reader: bufio.NewReaderSize(conn, readBufferSize)}
}

// greet sends the first message of the calling side, reads that of the serving side until the limit, and proves that it knows the keys
// of the stream.
func (s *stream) greet(key *mesh.Key, self model.HostID, limit time.Time) (err error) {
	s.sealKey, s.openKey = *key, *key
	own := rand.Text()
	if err := s.sendHello(self, own); err != nil {
		return err
	}
	other, err := s.receiveHello(limit)
	if err != nil {
		return err
	}
	s.agree(key, purposeCalls, purposeReplies, own+other)
	s.limit = messageLimit
	return s.sendHello(self, other)
}

// accept reads the first message of the calling side and sends that of the serving side. The stream is open once the calling side has
// sent a message under its keys, since the first one may have been recorded earlier.
func (s *stream) accept(key *mesh.Key, self model.HostID) (err error) {
	s.sealKey, s.openKey = *key, *key
	limit := time.Now().Add(helloTimeout)
	other, err := s.receiveHello(limit)
	if err != nil {
		return err
	}
	own := rand.Text()
	if err := s.sendHello(self, own); err != nil {
		return err
	}
	s.agree(key, purposeReplies, purposeCalls, other+own)
	if _, err := s.receiveHello(limit); err != nil {
		return err
	}
	s.limit = messageLimit
	return nil
}

// agree derives the keys of the stream from the nonces of both sides.
func (s *stream) agree(key *mesh.Key, sends, receives, nonces string) {
	s.sealKey, s.openKey = key.Derive(sends+" "+nonces), key.Derive(receives+" "+nonces)
	s.sent, s.received = 0, 0
}

// sendHello sends the first message.
func (s *stream) sendHello(self model.HostID, nonce string) error {
	hello := meshapi.Hello{Host: string(self), Nonce: nonce}
	body, err := hello.MarshalJSON()
	if err != nil {
		return err
	}
	return s.write(body)
}

// receiveHello reads a first message until the limit and returns the nonce in it.
func (s *stream) receiveHello(limit time.Time) (nonce string, err error) {
	if err := s.conn.SetReadDeadline(limit); err != nil {
		return "", err
	}
	body, err := s.read()
	if err != nil {
		return "", err
	}
	var hello meshapi.Hello
	if err := hello.UnmarshalJSON(body); err != nil {
		return "", err
	}
	s.peer = model.HostID(hello.Host)
	return hello.Nonce, s.conn.SetReadDeadline(time.Time{})
}

// write sends one message. It closes the connection if that fails, since a part may have been sent; a message that is too large
// leaves it as it was.
func (s *stream) write(body []byte) error {
	if len(body) > messageLimit {
		return errTooLarge
	}
	if s.packer != nil && len(body) >= packFrom && len(body) <= packMost {
		packed, err := s.packer.Pack(body)
		if err != nil {
			return err
		}
		body = packed
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sent++
	s.out = binary.BigEndian.AppendUint32(s.out[:0], uint32(len(body)))
	s.out = append(s.out, s.sealKey.MAC(s.sent, body)...)
	s.out = append(s.out, body...)
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := s.conn.Write(s.out)
	if cap(s.out) > keptBufferLimit {
		s.out = nil
	}
	if err != nil {
		_ = s.conn.Close() // ends the goroutine that reads
	}
	return err
}

// read returns the next message.
func (s *stream) read() ([]byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > s.limit {
		return nil, errTooLarge
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return nil, err
	}
	s.received++
	if err := s.openKey.VerifyMAC(s.received, body, header[4:]); err != nil {
		return nil, fmt.Errorf("relay: message %d: %w", s.received, err)
	}
	s.heard.Store(time.Now().UnixNano())
	return mesh.Unpack(body)
}
