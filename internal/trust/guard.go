package trust

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

// order lists the rights from the least to the most.
var order = []config.Role{config.RoleCaller, config.RoleReader, config.RoleOperator}

// Allows reports whether a holder of one right may do what needs another.
func Allows(held, needed config.Role) bool {
	return needed != "" && slices.Index(order, held) >= slices.Index(order, needed)
}

// Guard lets requests in that show a token of a sufficient right.
type Guard struct {
	// Policy returns the configuration in force, or nil.
	Policy func() *config.Policy
	// First is the token of the first operator, from the settings; its hash alone is kept.
	First config.Token
	// Open lets every request in, for trials on the loopback.
	Open bool
	// API names the interface in the log.
	API string
	// Log takes the events of refused requests.
	Log log.Interface
	// Refuse writes a refusal in the interface's own form.
	Refuse func(w http.ResponseWriter, refusal *model.Refusal)

	newest atomic.Pointer[granted]
	logged rate.Sometimes
}

// logEvery is the least time between two log events of refused requests, so that a flood of them does not fill the log.
const logEvery = time.Second

// NewGuard returns a guard whose exported fields are to be set before use.
func NewGuard() *Guard {
	return &Guard{logged: rate.Sometimes{Interval: logEvery}}
}

// granted is a policy with the grants made of it.
type granted struct {
	policy *config.Policy
	grants *Grants
}

// Require returns a handler that lets requests through when their token has the right that they need.
func (g *Guard) Require(needed func(r *http.Request) config.Role, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refusal := g.Check(r, needed(r)); refusal != nil {
			g.Refuse(w, refusal)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Check returns why a request may not go on, or nil.
func (g *Guard) Check(r *http.Request, needed config.Role) *model.Refusal {
	if g.Open || needed == "" {
		return nil
	}
	token, shown := shownToken(r)
	holder, known := g.grants().Holder(token)
	if !shown || !known {
		g.logged.Do(func() { event.TokenRefused(g.Log, g.API, r.RemoteAddr, r.URL.Path) })
		return model.Refuse(model.CodeUnauthorized, "no valid bearer token in the Authorization header")
	}
	if !Allows(holder.Right, needed) {
		g.logged.Do(func() { event.RightMissing(g.Log, g.API, string(holder.Name), r.URL.Path) })
		return model.Refuse(model.CodeForbidden, "token %s has the role %s, but %s is needed", holder.Name, holder.Right, needed)
	}
	return nil
}

// grants returns the grants of the configuration in force, made once for each version.
func (g *Guard) grants() *Grants {
	policy := g.Policy()
	newest := g.newest.Load()
	if newest != nil && newest.policy == policy {
		return newest.grants
	}
	tokens := []config.Token{g.First}
	if policy != nil {
		tokens = append(tokens, policy.Document.Tokens...)
	}
	made := &granted{policy: policy, grants: NewGrants(tokens)}
	g.newest.Store(made)
	return made.grants
}
