package relay

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"redwingspread/internal/budget"
	"redwingspread/internal/mesh"
	"redwingspread/internal/model"
	"redwingspread/pkg/api/meshapi"
)

const (
	messageLimit    = 4 << 20          // bytes of one message
	messageCopies   = 3                // a message is held as received, as texts, and as what is made of these
	uncountedSize   = 4 << 10          // bytes of a message up to which it takes no memory of the budget
	reserveSize     = 16 << 10         // bytes of a message up to which it is within the reserve of its session
	headSize        = 64               // bytes at the beginning of a message that hold its session
	helloLimit      = 1 << 10          // bytes of the first message, whose sender is not authenticated yet
	packFrom        = 192              // bytes of a message from which packing saves more than it costs
	packMost        = 32 << 10         // bytes of a message up to which it is packed, below the limit of mesh.Unpack
	keptBufferLimit = 64 << 10         // bytes of a message up to which it is copied to the output buffer
	readBufferSize  = 4 << 10          // bytes; most messages fit
	headerSize      = 4 + mesh.MACSize // length and MAC
	writeTimeout    = 2 * time.Second  // after which a host that doesn't read is given up
	helloTimeout    = time.Second      // for the first message of a stream
	bodyTimeout     = 10 * time.Second // for a message that has begun to arrive; 4 MiB take 3.4 s at 10 Mbit/s
)

// ReplyCopies is how often a response is held while it is passed on: its rows, their texts and the message.
const ReplyCopies = 3

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
	limit  uint32         // bytes of a message that is read
	packer *mesh.Packer   // of messages that are sent; nil for none
	memory *budget.Budget // for messages that are read; nil for no limit
	use    budget.Use     // of that memory

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
	m, err := s.read()
	if err != nil {
		return "", err
	}
	var hello meshapi.Hello
	if err := hello.UnmarshalJSON(m.body); err != nil {
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
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	err := s.send(body)
	if err != nil {
		_ = s.conn.Close() // ends the goroutine that reads
	}
	return err
}

// send writes the output, which holds a header, and the body, which is not copied if it is long.
func (s *stream) send(body []byte) error {
	if len(body) > keptBufferLimit {
		parts := net.Buffers{s.out, body}
		_, err := parts.WriteTo(s.conn)
		return err
	}
	s.out = append(s.out, body...)
	_, err := s.conn.Write(s.out)
	return err
}

// message is a message that was read, or the session of one for which there was no memory.
type message struct {
	body    []byte
	room    *budget.Account // of the memory that the message takes; nil if it is small
	refused SessionID       // set if there was no memory
}

// read returns the next message. One for which there is no memory is verified as it arrives, and dropped.
func (s *stream) read() (m message, err error) {
	defer func() {
		if err != nil {
			closeRoom(m.room)
		}
	}()
	var header [headerSize]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return m, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > s.limit {
		return m, errTooLarge
	}
	if size > readBufferSize {
		if err := s.conn.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
			return m, err
		}
		defer func() { err = errors.Join(err, s.conn.SetReadDeadline(time.Time{})) }()
	}
	s.received++
	if !s.reserve(&m, int(size)) {
		return s.drop(int64(size), header[4:])
	}
	m.body = make([]byte, size)
	if _, err := io.ReadFull(s.reader, m.body); err != nil {
		return m, err
	}
	if err := s.openKey.VerifyMAC(s.received, m.body, header[4:]); err != nil {
		return m, fmt.Errorf("relay: message %d: %w", s.received, err)
	}
	s.heard.Store(time.Now().UnixNano())
	if m.body, err = mesh.Unpack(m.body); err != nil {
		return m, err
	}
	if !s.reserve(&m, len(m.body)) {
		closeRoom(m.room)
		return refusedMessage(m.body)
	}
	return m, nil
}

// reserve takes memory for a message of the size, beside what it has, and reports whether there is any.
func (s *stream) reserve(m *message, size int) bool {
	if s.memory == nil || size <= uncountedSize {
		return true
	}
	if m.room == nil {
		use := s.use
		if size <= reserveSize {
			use = budget.Reserve
		}
		m.room = new(budget.Account)
		m.room.Init(s.memory, use, 0)
	}
	return m.room.Resize(model.Bytes(messageCopies*size)) == nil
}

// shrink gives back what only decoding a message takes.
func (m *message) shrink() {
	if m.room != nil {
		_ = m.room.Resize(model.Bytes(len(m.body))) // a smaller size is not refused
	}
}

// drop reads a message without keeping it, and returns its session.
func (s *stream) drop(size int64, mac []byte) (m message, err error) {
	var head bytes.Buffer
	hash := s.openKey.NewMAC(s.received)
	body := io.LimitReader(s.reader, size)
	if _, err := io.Copy(hash, io.TeeReader(io.LimitReader(body, headSize), &head)); err != nil {
		return m, err
	}
	if _, err := io.Copy(hash, body); err != nil {
		return m, err
	}
	if !hmac.Equal(hash.Sum(nil)[:mesh.MACSize], mac) {
		return m, fmt.Errorf("relay: message %d: %w", s.received, mesh.ErrInvalidMAC)
	}
	s.heard.Store(time.Now().UnixNano())
	return refusedMessage(head.Bytes())
}

// refusedMessage returns a message without its body, whose first bytes are given. Each message begins with its session.
func refusedMessage(head []byte) (m message, err error) {
	if _, err := fmt.Fscanf(bytes.NewReader(head[:min(len(head), headSize)]), `{"session":%d`, &m.refused); err != nil {
		return m, fmt.Errorf("relay: a message without a session: %w", err)
	}
	return m, nil
}

// closeRoom gives the memory of a message back; nil stands for none.
func closeRoom(room *budget.Account) {
	if room != nil {
		room.Close()
	}
}
