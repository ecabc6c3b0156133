package trust

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"redwingspread/internal/config"
)

// maxToken is the longest bearer token in bytes.
const maxToken = 256

// tokenPrefix makes a token easy to find where it should not be.
const tokenPrefix = "rws_"

// digest is the SHA-256 of a token.
type digest [sha256.Size]byte

// NewToken returns a new bearer token of 130 random bits and more.
func NewToken() string {
	return tokenPrefix + rand.Text()
}

// Hash returns what the configuration keeps of a token.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Holder is who shows a valid token.
type Holder struct {
	Name  config.Name
	Right config.Role
}

// Grants are the tokens of one configuration, made for quick checks; they never change.
type Grants struct {
	holders []Holder
	digests []digest
}

// NewGrants returns the grants of the tokens; those without a sound hash are left out.
func NewGrants(tokens []config.Token) *Grants {
	g := &Grants{}
	for _, token := range tokens {
		raw, err := hex.DecodeString(token.Hash)
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		g.holders = append(g.holders, Holder{Name: token.Name, Right: token.Role})
		g.digests = append(g.digests, digest(raw))
	}
	return g
}

// Holder returns who holds the token; the time it takes does not depend on which token matches, or how far.
func (g *Grants) Holder(token string) (Holder, bool) {
	sum := sha256.Sum256([]byte(token))
	found := -1
	for i := range g.digests {
		same := subtle.ConstantTimeCompare(sum[:], g.digests[i][:])
		found = subtle.ConstantTimeSelect(same, i, found)
	}
	if found < 0 {
		return Holder{}, false
	}
	return g.holders[found], true
}

// shownToken returns the bearer token of a request, or the password that a browser asked for.
func shownToken(r *http.Request) (string, bool) {
	if _, password, basic := r.BasicAuth(); basic {
		return password, sound(password)
	}
	scheme, token, found := strings.Cut(r.Header.Get("Authorization"), " ")
	return token, found && strings.EqualFold(scheme, "Bearer") && sound(token)
}

// sound reports whether a text may be a token at all.
func sound(token string) bool {
	return token != "" && len(token) <= maxToken
}
