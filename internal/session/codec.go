package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"

	"redwingspread/internal/model"
)

// MaxEncoded is the maximum length of an encoded token in characters.
const MaxEncoded = 4096

const (
	formatVersion = 1
	macBytes      = 16
	maxNameBytes  = 128                           // of the id of a session, a database or a request
	flagPartial   = 0x01                          // set when entries were dropped
	macContext    = "redwingspread session token" // separates these MACs from other uses of the key
)

// lineBreaks are characters that the decoder of the library skips wherever they stand.
const lineBreaks = "\r\n"

// encoding is strict, so that each token has exactly one encoded form once lineBreaks are refused.
var encoding = base64.RawURLEncoding.Strict()

// maxPayload is the maximum number of bytes before the MAC.
var maxPayload = encoding.DecodedLen(MaxEncoded) - macBytes

// Codec encodes and signs tokens, and verifies and decodes them.
type Codec struct {
	// Key signs new tokens.
	Key []byte
	// OldKey is still accepted for verification during key rotation; empty for none.
	OldKey []byte
}

// Encode returns the signed text of the token. It drops the least recent entries without a pending write until the token
// fits into MaxEncoded.
func (c *Codec) Encode(token Token) (string, error) {
	if len(c.Key) == 0 {
		return "", model.Refuse(model.CodeInternal, "no key signs session tokens")
	}
	if !namesFit(token) {
		return "", model.Refuse(model.CodeInvalid, "a name in the session token is longer than %d bytes", maxNameBytes)
	}
	payload := appendToken(nil, token)
	for len(payload) > maxPayload {
		smaller, dropped := evict(token)
		if !dropped {
			return "", model.Refuse(model.CodeTooLarge, "the session has too many writes whose outcome is unknown")
		}
		token = smaller
		payload = appendToken(payload[:0], token)
	}
	payload = append(payload, computeMAC(c.Key, payload)...)
	return encoding.EncodeToString(payload), nil
}

// Decode verifies a signed text and returns its token, or a refusal with CodeBadToken.
func (c *Codec) Decode(text string) (Token, error) {
	if len(text) > MaxEncoded {
		return Token{}, badToken("it is longer than %d characters", MaxEncoded)
	}
	if strings.ContainsAny(text, lineBreaks) {
		return Token{}, badToken("it has a line break")
	}
	signed, err := encoding.DecodeString(text)
	if err != nil || len(signed) <= macBytes {
		return Token{}, badToken("it is no session token")
	}
	payload, mac := signed[:len(signed)-macBytes], signed[len(signed)-macBytes:]
	if !c.verify(payload, mac) {
		return Token{}, badToken("it was not signed by this system")
	}
	if payload[0] != formatVersion {
		return Token{}, badToken("its version is %d, and this host reads version %d", payload[0], formatVersion)
	}
	r := reader{rest: payload[1:]}
	token := r.token()
	if r.malformed || len(r.rest) > 0 {
		return Token{}, badToken("its content is broken")
	}
	return token, nil
}

// verify reports whether the MAC was made with one of the keys.
func (c *Codec) verify(payload, mac []byte) bool {
	if len(c.Key) > 0 && hmac.Equal(mac, computeMAC(c.Key, payload)) {
		return true
	}
	return len(c.OldKey) > 0 && hmac.Equal(mac, computeMAC(c.OldKey, payload))
}

// computeMAC returns the truncated HMAC-SHA256 of the payload.
func computeMAC(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(macContext))
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}

// badToken returns a refusal with CodeBadToken.
func badToken(format string, arguments ...any) *model.Refusal {
	return model.Refuse(model.CodeBadToken, "the session token can't be used: "+format, arguments...)
}

// namesFit reports whether every id in the token is short enough for Decode to accept.
func namesFit(token Token) bool {
	if len(token.Session) > maxNameBytes {
		return false
	}
	for _, entry := range token.Entries {
		if len(entry.Database) > maxNameBytes || len(entry.Pending) > maxNameBytes {
			return false
		}
	}
	return true
}

// evict drops the least recent entry without a pending write, and reports whether there was one.
func evict(token Token) (Token, bool) {
	for i := len(token.Entries) - 1; i >= 0; i-- {
		if token.Entries[i].Pending == "" {
			token = token.Forget(token.Entries[i].Database)
			token.Partial = true
			return token, true
		}
	}
	return token, false
}

// appendToken appends the encoded token to the payload.
func appendToken(payload []byte, token Token) []byte {
	var flags byte
	if token.Partial {
		flags |= flagPartial
	}
	payload = append(payload, formatVersion, flags)
	payload = appendText(payload, string(token.Session))
	payload = binary.AppendUvarint(payload, uint64(len(token.Entries)))
	for _, entry := range token.Entries {
		payload = appendText(payload, string(entry.Database))
		payload = binary.AppendUvarint(payload, uint64(entry.Point.Term))
		payload = binary.AppendUvarint(payload, uint64(entry.Point.Position))
		payload = appendText(payload, string(entry.Pending))
	}
	return payload
}

// appendText appends a length-prefixed string.
func appendText(payload []byte, text string) []byte {
	payload = binary.AppendUvarint(payload, uint64(len(text)))
	return append(payload, text...)
}

// reader decodes a payload; malformed is set once it can't be decoded.
type reader struct {
	rest      []byte
	malformed bool
}

// token reads the whole token.
func (r *reader) token() Token {
	var token Token
	token.Partial = r.flags()&flagPartial != 0
	token.Session = model.SessionID(r.text())
	count := r.number()
	for ; count > 0 && !r.malformed; count-- {
		token.Entries = append(token.Entries, r.entry())
	}
	return token
}

// entry reads one entry.
func (r *reader) entry() Entry {
	return Entry{
		Database: model.DatabaseID(r.text()),
		Point:    model.Point{Term: model.Term(r.number()), Position: model.Position(r.number())},
		Pending:  model.RequestID(r.text()),
	}
}

// flags reads the flags byte.
func (r *reader) flags() byte {
	if len(r.rest) == 0 {
		r.malformed = true
		return 0
	}
	flags := r.rest[0]
	r.rest = r.rest[1:]
	return flags
}

// number reads a varint.
func (r *reader) number() uint64 {
	number, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.malformed = true
		return 0
	}
	r.rest = r.rest[size:]
	return number
}

// text reads a length-prefixed string.
func (r *reader) text() string {
	length := r.number()
	if length > maxNameBytes || length > uint64(len(r.rest)) {
		r.malformed = true
		return ""
	}
	text := string(r.rest[:length])
	r.rest = r.rest[length:]
	return text
}
