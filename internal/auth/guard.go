package auth

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"redwingspread/internal/config"
	"redwingspread/internal/event"
	"redwingspread/internal/model"
)

// rightOrder lists the rights from the least to the most.
var rightOrder = []config.Right{config.RightCaller, config.RightReader, config.RightOperator}

// Allows reports whether a holder of one right may do what needs another.
func Allows(held, needed config.Right) bool {
	return needed != "" && slices.Index(rightOrder, held) >= slices.Index(rightOrder, needed)
}

// Guard lets requests in that show a token of a sufficient right.
type Guard struct {
	// Policy returns the configuration in force, or nil.
	Policy func() *config.Policy
	// FirstOperator is the token of the first operator, from the settings; its hash alone is kept.
	FirstOperator config.Token
	// OpenAccess lets every request in, for trials on the loopback.
	OpenAccess bool
	// API names the interface in the log.
	API string
	// Log takes the events of refused requests.
	Log log.Interface
	// Refuse writes a refusal in the interface's own form.
	Refuse func(w http.ResponseWriter, refusal *model.Refusal)

	cached     atomic.Pointer[cachedTokens]
	logLimiter rate.Sometimes
}

// logInterval is the least time between two log events of refused requests, so that a flood of them does not fill the log.
const logInterval = time.Second

// NewGuard returns a guard whose exported fields are to be set before use.
func NewGuard() *Guard {
	return &Guard{logLimiter: rate.Sometimes{Interval: logInterval}}
}

// cachedTokens is a policy with the grants made of it.
type cachedTokens struct {
	policy *config.Policy
	tokens *TokenSet
}

// Require returns a handler that lets requests through when their token has the right that they need.
func (g *Guard) Require(needed func(r *http.Request) config.Right, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refusal := g.Check(r, needed(r)); refusal != nil {
			g.Refuse(w, refusal)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Check returns why a request may not go on, or nil.
func (g *Guard) Check(r *http.Request, needed config.Right) *model.Refusal {
	if g.OpenAccess || needed == "" {
		return nil
	}
	token, shown := requestToken(r)
	holder, known := g.tokenSet().Holder(token)
	if !shown || !known {
		g.logLimiter.Do(func() { event.TokenRefused(g.Log, g.API, r.RemoteAddr, r.URL.Path) })
		return model.Refuse(model.CodeUnauthorized, "no valid bearer token in the Authorization header")
	}
	if !Allows(holder.Right, needed) {
		g.logLimiter.Do(func() { event.RightMissing(g.Log, g.API, string(holder.Name), r.URL.Path) })
		return model.Refuse(model.CodeForbidden, "token %s has the role %s, but %s is needed", holder.Name, holder.Right, needed)
	}
	return nil
}

// tokenSet returns the grants of the configuration in force, made once for each version.
func (g *Guard) tokenSet() *TokenSet {
	policy := g.Policy()
	newest := g.cached.Load()
	if newest != nil && newest.policy == policy {
		return newest.tokens
	}
	tokens := []config.Token{g.FirstOperator}
	if policy != nil {
		tokens = append(tokens, policy.Document.Tokens...)
	}
	made := &cachedTokens{policy: policy, tokens: NewTokenSet(tokens)}
	g.cached.Store(made)
	return made.tokens
}
