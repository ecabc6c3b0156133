package lease

import (
	"math"
	"sync"
	"time"

	"redwingspread/internal/model"
)

// Forever is the end of a lease that doesn't end.
const Forever = model.Instant(math.MaxInt64)

// Withdrawn is the token that closes the gate of an instance that is gone.
const Withdrawn = model.Token(math.MaxUint64)

// Gate controls the use of one instance as a primary; it is safe for concurrent use.
//
// Each statement enters with the connection that it uses and leaves once its response has arrived.
type Gate[C comparable] struct {
	mutex    sync.Mutex
	until    model.Instant // end of the lease
	token    model.Token   // assignment of another instance that closed the gate; zero while it is open
	closedAt model.Instant
	lapses   int       // number of times that the lease was renewed after its end
	inUse    map[C]int // number of lapses at the entry of each statement in progress, by connection
}

// Open lets statements enter until the end of the lease, since no other instance is assigned as the primary.
func (g *Gate[C]) Open(now, until model.Instant) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if now >= g.until {
		g.lapses++
	}
	g.until, g.token = until, 0
}

// Close closes the gate, since another instance is assigned as the primary under the token. Statements in progress keep the
// lease that they have.
func (g *Gate[C]) Close(now model.Instant, token model.Token) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.token == 0 {
		g.closedAt = now
	}
	g.token = token
}

// Enter reports whether a statement may be sent on the connection now; if so, Leave must be called after its response.
func (g *Gate[C]) Enter(now model.Instant, conn C) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.token != 0 || now >= g.until {
		return false
	}
	if g.inUse == nil {
		g.inUse = make(map[C]int)
	}
	g.inUse[conn] = g.lapses
	return true
}

// Leave ends the use of the connection.
func (g *Gate[C]) Leave(conn C) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.inUse, conn)
}

// Valid reports whether the response to the connection's statement, which arrived now, may count as one of the primary: the
// lease must have lasted since the statement entered.
//
// A statement that entered before the gate was closed may still finish: the promotion waits for it or for the end of the lease.
func (g *Gate[C]) Valid(now model.Instant, conn C) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	entered, found := g.inUse[conn]
	return found && entered == g.lapses && now < g.until
}

// Admits reports whether Enter would succeed now.
func (g *Gate[C]) Admits(now model.Instant) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.token == 0 && now < g.until
}

// Closed returns the token that closed the gate, or zero while it is open or statements are in progress.
func (g *Gate[C]) Closed() model.Token {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(g.inUse) > 0 {
		return 0
	}
	return g.token
}

// Overdue returns the connections whose statements are still in progress the given time after the gate was closed.
func (g *Gate[C]) Overdue(now model.Instant, grace time.Duration) (conns []C) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.token == 0 || now.Sub(g.closedAt) < grace {
		return nil
	}
	for conn := range g.inUse {
		conns = append(conns, conn)
	}
	return conns
}
