package lease

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"redwingspread/internal/model"
)

const (
	modelHosts = 3
	modelStep  = 10 * time.Millisecond // time between two steps, which is the heartbeat interval of the model
	database   = model.DatabaseID("seats")
)

// link is the state of the network between the hosts during one step.
type link uint8

// The states of the network.
const (
	allUp link = iota
	late       // messages are held; in other steps those held the longest arrive, after those of the step
	cut0       // host 0 neither sends nor receives
	cut1
	cut2
	mute0 // what host 0 sends is lost
	mute1
	mute2
	deaf2 // what is sent to host 2 is lost
	allCut
	linkCount
)

// move is what happens in one step beside the heartbeats.
type move uint8

// The moves.
const (
	nothing move = iota
	claim0       // host 0 writes the row of the next promotion
	claim1
	use2 // host 2 begins or ends a statement on the primary that it believes in
	sleep2
	read2 // host 2 reads the rows from the store
	restart1
	use1
	sleep1
	read1
	restart2
	restart0
	read0
	claim2
	moveCount
)

// mutant is one guard that is left out.
type mutant string

// The mutants.
const (
	none                mutant = ""
	ignoresDigest       mutant = "counts confirmations of hosts that know other assignments"
	ignoresLease        mutant = "uses a primary without a lease"
	ignoresGate         mutant = "releases a primary while statements are in progress"
	acksLate            mutant = "counts a response after the lease has ended"
	renewsClosed        mutant = "renews the lease of statements on a replaced primary"
	ordersAtOnce        mutant = "orders without waiting"
	majorityIsEnough    mutant = "orders once the other hosts form no majority"
	minorityAtOnce      mutant = "orders in a minority as soon as its own lease would have ended"
	datesByArrival      mutant = "counts the lease from the arrival of the confirmation"
	confirmsUnread      mutant = "confirms and uses a primary before the rows are read"
	ordersOldToken      mutant = "orders although the row has changed"
	ignoresLone         mutant = "leaves out a silent host that reads the store"
	silentToOne         mutant = "leaves out a host that only the acting host has not heard"
	releasesWhileOrders mutant = "releases a primary while an order of its own is on its way"
)

// node is one host of the model.
type node struct {
	state   *State
	gates   [modelHosts + 1]*Gate[int] // one for each instance
	inUse   int                        // instance with a statement in progress, or -1
	claim   model.Token                // of the change that this host carries out; zero without one
	ordered int                        // steps until the order on its way takes effect; zero without one
}

// message is a heartbeat on its way.
type message struct {
	from, to int
	part     Message
}

// world is the state of the model: hosts, the store's row, the instances and the messages on their way.
//
// Instance 0 leads at first, and each change promotes the next one. An instance that has led goes on when another one is
// promoted.
type world struct {
	mutant  mutant
	now     model.Instant
	nodes   [modelHosts]*node
	row     Assignment
	leader  int
	led     [modelHosts + 1]bool // instances that have led, some of which lead no longer
	maxRows model.Token
	lone    [modelHosts]bool // hosts whose rows say that they may hold a lease from the store
	late    [][]message      // by the step in which they were sent
}

// newWorld returns hosts that have read the rows and confirmed each other once.
func newWorld(m mutant, changes int) *world {
	w := &world{mutant: m, now: model.Instant(time.Second), row: Assignment{Database: database}, maxRows: model.Token(changes)}
	w.led[0] = true
	for i := range w.nodes {
		w.nodes[i] = w.newNode(i)
		w.nodes[i].state.RowsRead(0)
	}
	for range 3 {
		w.step(allUp, nothing)
	}
	return w
}

// hostName returns the ID of a host.
func hostName(i int) model.HostID { return model.HostID(fmt.Sprint("h", i)) }

// newNode returns a host that has just started.
func (w *world) newNode(i int) *node {
	n := &node{state: New(), inUse: -1}
	w.lone[i] = false
	n.state.Self, n.state.Interval, n.state.Fanout = hostName(i), modelStep, 8
	n.state.Start(w.now)
	var others []model.HostID
	for j := range modelHosts {
		if j != i {
			others = append(others, hostName(j))
		}
	}
	n.state.SetMembers(w.now, others)
	n.state.rowsRead = w.mutant == confirmsUnread
	for j := range n.gates {
		n.gates[j] = &Gate[int]{}
	}
	return n
}

// read makes a host read the rows from the store for its lease, once its row says so.
func (w *world) read(i int) {
	n := w.nodes[i]
	w.lone[i] = true
	if w.row.Token > 0 {
		n.state.Assign(w.now, w.row)
	}
	n.state.RowsRead(w.now)
}

// instanceOf returns the index of the assigned instance.
func instanceOf(a Assignment) int { return int(a.Token) }

// step advances the model by one step.
func (w *world) step(l link, m move) {
	w.now = w.now.Add(modelStep)
	w.execute()
	asleep := map[move]int{sleep1: 1, sleep2: 2}
	sleeper, sleeps := asleep[m]
	if !sleeps {
		sleeper = -1
	}
	var sent []message
	for i, n := range w.nodes {
		if i == sleeper {
			continue
		}
		part := n.state.Compose(w.now)
		for j := range w.nodes {
			if i != j && !lost(l, i, j) {
				part.Heard = n.state.Heard(hostName(j))
				sent = append(sent, message{i, j, part})
			}
		}
	}
	if l == late {
		w.late = append(w.late, sent)
		sent = nil
	} else if len(w.late) > 0 {
		sent = append(sent, w.late[0]...)
		w.late = w.late[1:]
	}
	for _, d := range sent {
		if d.to != sleeper {
			w.deliver(d)
		}
	}
	w.move(m)
	for i := range w.nodes {
		if i != sleeper {
			w.control(i)
		}
	}
}

// lost reports whether messages of one host to another are lost.
func lost(l link, from, to int) bool {
	switch l {
	case cut0, cut1, cut2:
		return from == int(l-cut0) || to == int(l-cut0)
	case mute0, mute1, mute2:
		return from == int(l-mute0)
	case deaf2:
		return to == 2
	case allCut:
		return true
	}
	return false
}

// deliver hands a heartbeat to its receiver.
func (w *world) deliver(d message) {
	n := w.nodes[d.to]
	part := d.part
	if w.mutant == ignoresDigest {
		part.Digest = n.state.digest
	}
	if part.Heard != 0 && w.mutant == datesByArrival {
		part.Heard = n.state.lastSent
	}
	if w.mutant == silentToOne && part.Released != nil {
		part.Silent = n.state.silent(w.now)
	}
	n.state.Receive(w.now, hostName(d.from), part)
}

// move carries out a move.
func (w *world) move(m move) {
	switch m {
	case claim0, claim1, claim2:
		w.claim(map[move]int{claim0: 0, claim1: 1, claim2: 2}[m])
	case read0, read1, read2:
		w.read(map[move]int{read0: 0, read1: 1, read2: 2}[m])
	case restart0, restart1, restart2:
		i := map[move]int{restart0: 0, restart1: 1, restart2: 2}[m]
		w.nodes[i] = w.newNode(i)
		for j, n := range w.nodes {
			if j != i {
				n.state.Restarted(hostName(i))
			}
		}
	case use1, use2:
		w.use(w.nodes[map[move]int{use1: 1, use2: 2}[m]])
	}
}

// claim makes a host write the row of the next promotion, and wait for the release of the primary.
func (w *world) claim(i int) {
	n := w.nodes[i]
	if n.claim != 0 || w.row.Token == w.maxRows || !n.state.rowsRead {
		return
	}
	w.row.Token++
	w.row.Instance = model.InstanceID(fmt.Sprint("i", w.row.Token))
	n.claim = w.row.Token
	n.state.Assign(w.now, w.row)
	lone := make(map[model.HostID]bool)
	for j, is := range w.lone {
		lone[hostName(j)] = is && w.mutant != ignoresLone
	}
	n.state.Begin(w.now, database, w.row.Token, lone)
}

// use begins or ends a statement on the instance that the host takes for the primary.
func (w *world) use(n *node) {
	if n.inUse >= 0 {
		n.gates[n.inUse].Leave(0)
		n.inUse = -1
		return
	}
	if target := instanceOf(n.state.Assigned(database)); n.gates[target].Enter(w.now, 0) {
		n.inUse = target
	}
}

// control does what the controller and the traffic of a host do with its state.
func (w *world) control(i int) {
	n := w.nodes[i]
	assigned := n.state.Assigned(database)
	until := n.state.Until()
	if w.mutant == ignoresLease && n.state.rowsRead {
		until = Forever
	}
	released := true
	for j, gate := range n.gates {
		if w.mutant == renewsClosed {
			gate.until = until
		}
		if assigned.Token == 0 || j == instanceOf(assigned) {
			gate.Open(w.now, until)
			continue
		}
		gate.Close(w.now, assigned.Token)
		if gate.Closed() < assigned.Token && w.mutant != ignoresGate {
			released = false
		}
	}
	if n.claim != 0 && n.claim != assigned.Token && w.mutant != releasesWhileOrders {
		released = false
	}
	if released && assigned.Token > 0 {
		n.state.Release(w.now, database, assigned.Token)
	}
	if n.claim == 0 || n.ordered > 0 {
		return
	}
	if w.row.Token != n.claim && w.mutant != ordersOldToken {
		n.state.End(database)
		n.claim = 0
		return
	}
	if w.cleared(n) >= n.claim {
		n.ordered = orderSteps(n.claim)
	}
}

// orderSteps returns the number of steps until an order takes effect; every other order is slow.
func orderSteps(token model.Token) int {
	if token%2 == 1 {
		return 5
	}
	return 1
}

// cleared returns the token whose promotion the host may order.
func (w *world) cleared(n *node) model.Token {
	token := n.state.Cleared(w.now, database)
	others := 0
	for _, id := range n.state.members {
		if n.state.releasedBy[database][id] >= n.claim {
			others++
		}
	}
	waited := w.now.Sub(n.state.changes[database].startedAt)
	switch w.mutant {
	case ordersAtOnce:
		return n.claim
	case majorityIsEnough:
		if others >= n.state.blocking() {
			return n.claim
		}
	case minorityAtOnce:
		if waited >= n.state.Duration() {
			return n.claim
		}
	}
	return token
}

// execute carries out the orders that were on their way.
func (w *world) execute() {
	for _, n := range w.nodes {
		if n.ordered == 0 {
			continue
		}
		if n.ordered--; n.ordered == 0 {
			w.leader = int(n.claim)
			w.led[w.leader] = true
			n.state.End(database)
			n.claim = 0
		}
	}
}

// violation describes a host that could have a write acknowledged by an instance that no longer leads, or returns an empty text.
func (w *world) violation() string {
	for i, n := range w.nodes {
		for j, gate := range n.gates {
			if j == w.leader || !w.led[j] {
				continue // an instance that is not promoted yet refuses writes
			}
			target := instanceOf(n.state.Assigned(database))
			if target == j && gate.Admits(w.now) {
				return fmt.Sprintf("host %d may use instance %d while %d leads", i, j, w.leader)
			}
			if n.inUse == j && (gate.Valid(w.now, 0) || w.mutant == acksLate) {
				return fmt.Sprintf("host %d may count a response of instance %d while %d leads", i, j, w.leader)
			}
		}
	}
	return ""
}

// clone returns a deep copy of the model.
func (w *world) clone() *world {
	next := *w
	next.late = slices.Clone(w.late)
	for i, n := range w.nodes {
		copied := *n
		s := *n.state
		s.heard, s.confirmed = maps.Clone(s.heard), maps.Clone(s.confirmed)
		s.heardAt, s.silentTo = maps.Clone(s.heardAt), maps.Clone(s.silentTo)
		s.assignments, s.released = maps.Clone(s.assignments), maps.Clone(s.released)
		s.releasedBy = make(map[model.DatabaseID]map[model.HostID]model.Token)
		for id, tokens := range n.state.releasedBy {
			s.releasedBy[id] = maps.Clone(tokens)
		}
		s.changes = make(map[model.DatabaseID]*change)
		for id, c := range n.state.changes {
			duplicate := *c
			s.changes[id] = &duplicate
		}
		copied.state = &s
		for j, gate := range n.gates {
			copied.gates[j] = &Gate[int]{until: gate.until, lapses: gate.lapses, token: gate.token, closedAt: gate.closedAt, inUse: maps.Clone(gate.inUse)}
		}
		next.nodes[i] = &copied
	}
	return &next
}

// key identifies the state of the model up to the passing of time.
func (w *world) key() string {
	var text strings.Builder
	age := func(at model.Instant) int {
		return int(min(max(w.now.Sub(at)/modelStep, -12), 12))
	}
	fmt.Fprint(&text, w.leader, w.led, w.lone, w.row.Token)
	for _, n := range w.nodes {
		s := n.state
		fmt.Fprint(&text, "|", n.inUse, n.claim, n.ordered, s.rowsRead, age(s.storeRead), age(s.started), s.Assigned(database).Token,
			s.released[database], age(s.repeatUntil))
		for j := range modelHosts {
			fmt.Fprint(&text, ",", age(s.heardAt[hostName(j)]), s.silentTo[hostName(j)], age(s.heard[hostName(j)]), age(s.confirmed[hostName(j)]), s.releasedBy[database][hostName(j)])
		}
		if c := s.changes[database]; c != nil {
			fmt.Fprint(&text, ";", len(c.lone), c.lone, age(c.startedAt), age(c.blockedAt), c.blocked)
		}
		for _, gate := range n.gates {
			fmt.Fprint(&text, ".", gate.token, age(gate.until), len(gate.inUse))
		}
	}
	for _, d := range slices.Concat(w.late...) {
		fmt.Fprint(&text, "~", d.from, d.to, d.part.Digest%1000, age(d.part.Sent), len(d.part.Assignments), d.part.Released[database])
	}
	return text.String()
}

// search visits every state that the given links and moves reach within the number of steps, and returns the first violation.
func search(m mutant, steps int, links []link, moves []move) (violation string, states int) {
	level := []*world{newWorld(m, 2)}
	seen := map[string]bool{}
	for range steps {
		var next []*world
		for _, w := range level {
			for _, l := range links {
				for _, mv := range moves {
					child := w.clone()
					child.step(l, mv)
					if violation := child.violation(); violation != "" {
						return violation, len(seen)
					}
					if key := child.key(); !seen[key] {
						seen[key] = true
						next = append(next, child)
					}
				}
			}
		}
		level = next
	}
	return "", len(seen)
}

// wander takes random steps and returns the first violation.
func wander(m mutant, seed uint64, runs, steps int) string {
	random := rand.New(rand.NewPCG(seed, 1))
	for range runs {
		w := newWorld(m, modelHosts)
		l := allUp
		for range steps {
			if random.IntN(3) == 0 {
				l = link(random.IntN(int(linkCount)))
			}
			mv := nothing
			if random.IntN(2) == 0 {
				mv = move(random.IntN(int(moveCount)))
			}
			w.step(l, mv)
			if violation := w.violation(); violation != "" {
				return violation
			}
		}
	}
	return ""
}

// play takes the given steps and returns the first violation.
func play(m mutant, steps []step) string {
	w := newWorld(m, 2)
	for _, s := range steps {
		for range s.times {
			w.step(s.link, s.move)
			if violation := w.violation(); violation != "" {
				return violation
			}
		}
	}
	return ""
}

// step is a step of the model that is taken a number of times.
type step struct {
	times int
	link  link
	move  move
}

// TestModelSearch visits every state of three hosts and two changes of the primary that the given faults reach.
func TestModelSearch(t *testing.T) {
	tests := map[string]struct {
		steps int
		links []link
		moves []move
	}{
		"a user is cut off":        {steps: 7, links: []link{allUp, cut2}, moves: []move{nothing, claim0, claim1}},
		"one direction is lost":    {steps: 5, links: []link{allUp, mute2, deaf2}, moves: []move{nothing, claim0, claim1}},
		"the acting host is cut":   {steps: 5, links: []link{allUp, cut0, allCut}, moves: []move{nothing, claim0, claim1}},
		"messages are late":        {steps: 4, links: []link{allUp, late, cut2}, moves: []move{nothing, claim0, claim1, use2}},
		"a statement is in flight": {steps: 7, links: []link{allUp, cut2}, moves: []move{nothing, claim0, use2}},
		"a user sleeps":            {steps: 5, links: []link{allUp, cut1}, moves: []move{nothing, claim0, sleep2, use2}},
		"a witness restarts":       {steps: 4, links: []link{allUp, cut2, cut0}, moves: []move{nothing, claim0, restart1, read1}},
		"the store is read":        {steps: 5, links: []link{allUp, cut2, allCut}, moves: []move{nothing, claim0, read2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			violation, states := search(none, test.steps, test.links, test.moves)
			if violation != "" {
				t.Errorf("got %q, want no violation", violation)
			}
			t.Logf("%d states", states)
		})
	}
}

// TestModelWanders takes random walks with all faults and three changes of the primary.
func TestModelWanders(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4} {
		if got := wander(none, seed, 500, 150); got != "" {
			t.Errorf("seed %d: got %q, want no violation", seed, got)
		}
	}
}

// TestModelFindsMutants checks that the model finds the loss of each guard, by a random walk or by the steps given.
func TestModelFindsMutants(t *testing.T) {
	oldConfirmations := []step{{16, late, nothing}, {1, cut2, claim0}, {16, cut2, nothing}}
	tests := map[mutant][]step{
		ignoresDigest:       nil,
		ignoresLease:        nil,
		ignoresGate:         nil,
		acksLate:            nil,
		renewsClosed:        nil,
		ordersAtOnce:        nil,
		majorityIsEnough:    nil,
		minorityAtOnce:      nil,
		datesByArrival:      oldConfirmations,
		confirmsUnread:      nil,
		ordersOldToken:      nil,
		ignoresLone:         nil,
		silentToOne:         nil,
		releasesWhileOrders: nil,
	}
	for m, steps := range tests {
		t.Run(string(m), func(t *testing.T) {
			if steps != nil {
				if got := play(none, steps); got != "" {
					t.Errorf("got %q without the mutant, want no violation", got)
				}
				if got := play(m, steps); got == "" {
					t.Error("got no violation, want one")
				}
				return
			}
			for seed := range uint64(40) {
				if wander(m, seed, 250, 150) != "" {
					return
				}
			}
			t.Error("got no violation, want one")
		})
	}
}
