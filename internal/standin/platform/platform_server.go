package platform

import (
	"context"
	"errors"
	"net/http"

	"redwingspread/internal/model"
	store "redwingspread/internal/platform"
	"redwingspread/internal/standin"
	"redwingspread/pkg/api/platformapi"
)

// platformServer implements the platform API.
type platformServer struct {
	platform *Platform
}

// ListRows returns the rows with a prefix that changed after a revision.
func (s platformServer) ListRows(ctx context.Context, p platformapi.ListRowsParams) (*platformapi.Rows, error) {
	return standin.Ask(ctx, s.platform.actor, func(c *core) (*platformapi.Rows, error) {
		found := c.changedRows(model.RowKey(p.Prefix), model.Revision(p.After.Or(0)))
		return &platformapi.Rows{Revision: uint64(c.revision), Rows: rowsOf(found)}, nil
	})
}

// CommitRows writes all rows if every check passes, or else none.
func (s platformServer) CommitRows(ctx context.Context, m *platformapi.RowTransaction) (*platformapi.RowCommit, error) {
	return standin.Ask(ctx, s.platform.actor, func(c *core) (*platformapi.RowCommit, error) {
		commit := c.commit(checksOf(m.Checks), putsOf(m.Writes))
		return &platformapi.RowCommit{Committed: commit.Committed, Rows: rowsOf(commit.Rows)}, nil
	})
}

// GetObject returns an object.
func (s platformServer) GetObject(ctx context.Context, p platformapi.GetObjectParams) (*platformapi.Object, error) {
	return standin.Ask(ctx, s.platform.actor, func(c *core) (*platformapi.Object, error) {
		content, found := c.objects[model.ObjectName(p.Name)]
		if !found {
			return nil, model.Refuse(model.CodeNotFound, "no object %q", p.Name)
		}
		return &platformapi.Object{Content: content}, nil
	})
}

// PutObject writes an object.
func (s platformServer) PutObject(ctx context.Context, m *platformapi.Object, p platformapi.PutObjectParams) error {
	_, err := standin.Ask(ctx, s.platform.actor, func(c *core) (struct{}, error) {
		c.objects[model.ObjectName(p.Name)] = m.Content
		return struct{}{}, nil
	})
	return err
}

// ListObjects returns the names of the objects with a prefix.
func (s platformServer) ListObjects(ctx context.Context, p platformapi.ListObjectsParams) (*platformapi.ObjectNames, error) {
	return standin.Ask(ctx, s.platform.actor, func(c *core) (*platformapi.ObjectNames, error) {
		names := []string{}
		for _, name := range c.objectNames(model.ObjectName(p.Prefix)) {
			names = append(names, string(name))
		}
		return &platformapi.ObjectNames{Names: names}, nil
	})
}

// ListMembers returns the list of hosts and endpoints as it was before the current lag.
func (s platformServer) ListMembers(ctx context.Context) (*platformapi.Members, error) {
	return standin.Ask(ctx, s.platform.actor, func(c *core) (*platformapi.Members, error) {
		at := s.platform.Now().Add(-s.platform.listLag())
		return &platformapi.Members{Members: membersOf(c.members(at))}, nil
	})
}

// NewError translates an error to a response.
func (s platformServer) NewError(_ context.Context, err error) *platformapi.RefusalStatusCode {
	status := http.StatusInternalServerError
	response := platformapi.Refusal{Code: platformapi.RefusalCodeInternal, Message: err.Error()}
	refusal, ok := errors.AsType[*model.Refusal](err)
	if ok && refusal.Code == model.CodeNotFound {
		status = http.StatusNotFound
		response.Code = platformapi.RefusalCodeNotFound
	}
	if ok && refusal.Code == model.CodeUnavailable {
		status = http.StatusServiceUnavailable
		response.Code = platformapi.RefusalCodeUnavailable
	}
	return &platformapi.RefusalStatusCode{StatusCode: status, Response: response}
}

// rowsOf translates rows to messages.
func rowsOf(rows []store.Row) []platformapi.Row {
	result := make([]platformapi.Row, 0, len(rows))
	for _, row := range rows {
		result = append(result, platformapi.Row{
			Key:      string(row.Key),
			Version:  uint64(row.Version),
			Revision: uint64(row.Revision),
			Value:    row.Value,
		})
	}
	return result
}

// checksOf translates the checks of a transaction from messages.
func checksOf(checks []platformapi.RowCheck) []store.Check {
	result := make([]store.Check, 0, len(checks))
	for _, check := range checks {
		result = append(result, store.Check{Key: model.RowKey(check.Key), Version: model.Version(check.Version)})
	}
	return result
}

// putsOf translates the writes of a transaction from messages.
func putsOf(writes []platformapi.RowWrite) []store.Put {
	result := make([]store.Put, 0, len(writes))
	for _, write := range writes {
		result = append(result, store.Put{Key: model.RowKey(write.Key), Value: write.Value})
	}
	return result
}

// membersOf translates members to messages.
func membersOf(members []Member) []platformapi.Member {
	result := make([]platformapi.Member, 0, len(members))
	for _, member := range members {
		message := platformapi.Member{
			Role:       platformapi.MemberRole(member.Role),
			ID:         member.ID,
			Address:    string(member.Address),
			DataCentre: string(member.DataCentre),
			Region:     string(member.Region),
			Leaving:    member.Leaving,
		}
		if member.Database != "" {
			message.Database = platformapi.NewOptString(string(member.Database))
		}
		result = append(result, message)
	}
	return result
}
