package auth

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"redwingspread/internal/config"
)

// maxTokenLength is the maximum length of a bearer token in bytes.
const maxTokenLength = 256

// tokenPrefix makes leaked tokens easy to find.
const tokenPrefix = "rws_"

// digest is the SHA-256 hash of a token.
type digest [sha256.Size]byte

// NewToken returns a new bearer token with at least 130 random bits.
func NewToken() string {
	return tokenPrefix + rand.Text()
}

// Hash returns the hash of a token in hexadecimal, as the configuration stores it.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Holder is the name and the role of a valid token.
type Holder struct {
	Name config.Name
	Role config.Role
}

// TokenSet is the immutable set of valid tokens, prepared for fast checks.
type TokenSet struct {
	holders []Holder
	digests []digest
}

// NewTokenSet returns the set of the tokens; tokens without a valid hash are left out.
func NewTokenSet(tokens []config.Token) *TokenSet {
	set := &TokenSet{}
	for _, token := range tokens {
		raw, err := hex.DecodeString(token.Hash)
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		set.holders = append(set.holders, Holder{Name: token.Name, Role: token.Role})
		set.digests = append(set.digests, digest(raw))
	}
	return set
}

// Holder returns the holder of the token. Its running time does not depend on which token matches or on how many bytes do.
func (s *TokenSet) Holder(token string) (Holder, bool) {
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i := range s.digests {
		same := subtle.ConstantTimeCompare(sum[:], s.digests[i][:])
		found = subtle.ConstantTimeSelect(same, i, found)
	}
	if found < 0 {
		return Holder{}, false
	}
	return s.holders[found], true
}

// requestToken returns the bearer token of a request, or the password of basic authentication, which browsers send.
func requestToken(r *http.Request) (string, bool) {
	if _, password, basic := r.BasicAuth(); basic {
		return password, validLength(password)
	}
	scheme, token, found := strings.Cut(r.Header.Get("Authorization"), " ")
	return token, found && strings.EqualFold(scheme, "Bearer") && validLength(token)
}

// validLength reports whether a token has an allowed length.
func validLength(token string) bool {
	return token != "" && len(token) <= maxTokenLength
}
