package platform

import (
	"fmt"
	"net/netip"
	"strings"

	"redwingspread/internal/model"
)

// Role is the role of a member.
type Role string

// Roles of members.
const (
	RoleHost     Role = "host"
	RoleEndpoint Role = "endpoint"
)

// Member is a host or an endpoint on the platform's member list.
type Member struct {
	Role       Role
	ID         string
	Address    model.Address
	DataCentre model.DataCentreID
	Region     model.RegionID
	Database   model.DatabaseID // database of an endpoint; empty for a host
	Leaving    bool             // whether the member has announced that it is leaving
}

// Numbers of parts in the text form of a member.
const (
	hostParts     = 5
	endpointParts = 6
)

// ParseMember parses a member of the form role/id/address/data-centre/region[/database].
func ParseMember(text string) (member Member, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("member %q: %w", text, err)
		}
	}()
	parts := strings.Split(text, "/")
	want := hostParts
	if Role(parts[0]) == RoleEndpoint {
		want = endpointParts
	}
	if len(parts) != want {
		return member, fmt.Errorf("has %d parts, not %d", len(parts), want)
	}
	if Role(parts[0]) != RoleHost && Role(parts[0]) != RoleEndpoint {
		return member, fmt.Errorf("role is neither %s nor %s", RoleHost, RoleEndpoint)
	}
	if _, err := netip.ParseAddrPort(parts[2]); err != nil {
		return member, err
	}
	member = Member{
		Role:       Role(parts[0]),
		ID:         parts[1],
		Address:    model.Address(parts[2]),
		DataCentre: model.DataCentreID(parts[3]),
		Region:     model.RegionID(parts[4]),
	}
	if want == endpointParts {
		member.Database = model.DatabaseID(parts[5])
	}
	return member, nil
}
