package mesh

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"hash"
)

const (
	// KeySize is the length of a key in bytes.
	KeySize = 32
	// MACSize is the length of a MAC in bytes: half of the digest, too long to be guessed during a host's life.
	MACSize = 16
)

// Key is the key shared by all hosts.
type Key [KeySize]byte

// NewKey returns a random key.
func NewKey() (key Key) {
	_, _ = rand.Read(key[:]) // crypto/rand crashes the process instead of returning an error
	return key
}

// ErrInvalidMAC is the error of a message that no host has authenticated.
var ErrInvalidMAC = errors.New("invalid message authentication code")

// computeMAC returns the MAC of a message for one purpose.
func (k *Key) computeMAC(purpose string, body []byte) []byte {
	mac := hmac.New(sha256.New, k[:])
	mac.Write([]byte(purpose))
	mac.Write([]byte{0})
	mac.Write(body)
	return mac.Sum(nil)[:MACSize]
}

// verifyMAC returns ErrInvalidMAC unless the MAC belongs to the message.
func (k *Key) verifyMAC(purpose string, body, mac []byte) error {
	if !hmac.Equal(k.computeMAC(purpose, body), mac) {
		return ErrInvalidMAC
	}
	return nil
}

// Derive returns a key for another purpose.
func (k *Key) Derive(purpose string) (derived Key) {
	mac := hmac.New(sha256.New, k[:])
	mac.Write([]byte("derive "))
	mac.Write([]byte(purpose))
	mac.Sum(derived[:0])
	return derived
}

// MAC returns the MAC of a numbered message.
func (k *Key) MAC(number uint64, body []byte) []byte {
	mac := k.NewMAC(number)
	mac.Write(body)
	return mac.Sum(nil)[:MACSize]
}

// NewMAC returns a hash that computes the MAC of a numbered message whose body is written to it; the MAC is the first MACSize bytes.
func (k *Key) NewMAC(number uint64) hash.Hash {
	mac := hmac.New(sha256.New, k[:])
	mac.Write(binary.BigEndian.AppendUint64(nil, number))
	return mac
}

// VerifyMAC returns ErrInvalidMAC unless the MAC belongs to the numbered message.
func (k *Key) VerifyMAC(number uint64, body, mac []byte) error {
	if !hmac.Equal(k.MAC(number, body), mac) {
		return ErrInvalidMAC
	}
	return nil
}

// cipherFor returns the cipher for one purpose, under a key of its own.
func (k *Key) cipherFor(purpose string) (cipher.AEAD, error) {
	derived := k.Derive("encrypt " + purpose)
	block, err := aes.NewCipher(derived[:])
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}

// encrypt returns a random nonce followed by the encrypted message.
func (k *Key) encrypt(purpose string, message []byte) ([]byte, error) {
	aead, err := k.cipherFor(purpose)
	if err != nil {
		return nil, err
	}
	nonce := make([]byte, aead.NonceSize())
	_, _ = rand.Read(nonce) // crypto/rand crashes the process instead of returning an error
	return aead.Seal(nonce, nonce, message, []byte(purpose)), nil
}

// decrypt returns the message that encrypt has encrypted.
func (k *Key) decrypt(purpose string, encrypted []byte) ([]byte, error) {
	aead, err := k.cipherFor(purpose)
	if err != nil {
		return nil, err
	}
	if len(encrypted) < aead.NonceSize() {
		return nil, ErrInvalidMAC
	}
	return aead.Open(nil, encrypted[:aead.NonceSize()], encrypted[aead.NonceSize():], []byte(purpose))
}

// Purposes of MACs, so that a message of one type is never accepted as another.
const (
	purposeHeartbeat = "beat"
	purposeRequest   = "ask"
	purposeResponse  = "answer"
	purposeTenants   = "tenants"
	purposeQuestion  = "question"
	purposeTokens    = "tokens"
)
