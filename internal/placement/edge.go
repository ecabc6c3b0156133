package placement

import "time"

// Edge is the border that traffic from a host to an instance crosses.
type Edge uint8

// The edges.
const (
	EdgeHome   Edge   = iota // none: the instance is in the host's data centre
	EdgeCentre               // to another data centre of the region
	EdgeRegion               // to another region
	EdgeCount  = iota        // number of edges
)

// EdgeTo returns the edge to an instance.
func EdgeTo(sameCentre, sameRegion bool) Edge {
	switch {
	case sameCentre:
		return EdgeHome
	case sameRegion:
		return EdgeCentre
	}
	return EdgeRegion
}

// String returns the edge's name in metrics.
func (e Edge) String() string { return [EdgeCount]string{"home", "centre", "region"}[e] }

// Costs is the time that a caller must gain for one crossing of an edge; an edge without cost is crossed as if it weren't there.
type Costs struct {
	Centre time.Duration
	Region time.Duration
}

// Of returns the cost of an edge.
func (c Costs) Of(edge Edge) time.Duration {
	return [EdgeCount]time.Duration{0, c.Centre, c.Region}[edge]
}

// Reason tells why a statement goes where it goes.
type Reason uint8

// The reasons.
const (
	ReasonStays  Reason = iota // an instance at home serves it, and no other is noticeably better
	ReasonHeld                 // it would gain elsewhere, but only a share may leave
	ReasonOnly                 // no instance at home can serve it, or it needs the primary
	ReasonBehind               // the instances at home lag too far behind for the read
	ReasonLate                 // the response is expected after the goal at home and within it elsewhere
	ReasonShare                // the gain is a noticeable share of the goal
	ReasonSooner               // the response is expected sooner, and crossing costs nothing
	ReasonProbe                // the instance is ejected, and the read shows whether it has recovered
	ReasonCount  = iota        // number of reasons
)

// String returns the reason's name in metrics.
func (r Reason) String() string {
	return [ReasonCount]string{"stays", "held", "only", "behind", "late", "share", "sooner", "probe"}[r]
}
