package mesh

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sync"

	"redwingspread/internal/model"
)

// packing is the compression that this release reads and writes: DEFLATE with packDictionary.
const packing model.Packing = 1

// packMark is the first byte of a packed message; the others begin with a brace.
const packMark = byte(packing)

// packDictionary is part of the format of packed messages, so that a change of it needs another packing. What is frequent stands
// last, where references to it are shortest.
const packDictionary = `"silent":["asked":,"term":,"position":"proofs":[{"database":"","instance":""` +
	`"leads":[{"database":"","instance":"","term":1,"state":"silent","age":"released":{"assigned":[{"database":"","instance":"","token":` +
	`"loads":{"i-00000000":1,"i-0}"sent":,"heard":,"digest":` +
	`{"host":"front-","incarnation":178,"sequence":1,"leaving":false,"version":1,"revision":1,"rows":1,"follows":true,"packs":1,"counted":true,"loads":{"i-`

// errTooLarge is the error of a message that unpacks to more than maxMessageSize.
var errTooLarge = errors.New("message too large")

// Packer compresses messages; it is safe for concurrent use.
type Packer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
	writer *flate.Writer // nil until the first use, as it takes 0.8 MB
}

// Pack returns the packed form of a message.
func (p *Packer) Pack(body []byte) (packed []byte, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.buffer.Reset()
	p.buffer.WriteByte(packMark)
	if p.writer == nil {
		if p.writer, err = flate.NewWriterDict(&p.buffer, flate.DefaultCompression, []byte(packDictionary)); err != nil {
			return nil, err
		}
	} else {
		p.writer.Reset(&p.buffer)
	}
	if _, err := p.writer.Write(body); err != nil {
		return nil, err
	}
	if err := p.writer.Close(); err != nil {
		return nil, err
	}
	return bytes.Clone(p.buffer.Bytes()), nil
}

// unpackers holds readers of packed messages for reuse.
var unpackers = sync.Pool{New: func() any { return flate.NewReaderDict(nil, []byte(packDictionary)) }}

// Unpack returns the message in a packed or plain body.
func Unpack(body []byte) (message []byte, err error) {
	if len(body) == 0 || body[0] != packMark {
		return body, nil
	}
	reader := unpackers.Get().(io.ReadCloser)
	defer unpackers.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(body[1:]), []byte(packDictionary)); err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	message, err = io.ReadAll(io.LimitReader(reader, maxMessageSize+1))
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	if len(message) > maxMessageSize {
		return nil, errTooLarge
	}
	return message, nil
}
