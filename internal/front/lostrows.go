package front

import (
	"context"
	"errors"
	"fmt"

	"redwingspread/internal/controller"
	"redwingspread/internal/event"
	"redwingspread/internal/model"
)

// storeEra returns the newest era of the store in which this host, or one from which it has learnt, has read a table.
func (h *Host) storeEra() model.Era {
	view := h.view()
	if view.Membership == nil {
		return view.Directory.Position.Era
	}
	return max(view.Directory.Position.Era, view.Membership.Position.Era)
}

// restoreRows writes the host's own row, the shared key and the known promotions again where the store, which has come back from an older
// copy, has lost them.
func (h *Host) restoreRows(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("restore rows: %w", err)
		}
	}()
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, position, err := h.Platform.Hosts(callCtx, model.StorePosition{}, 0)
	if err != nil {
		return err
	}
	if err := h.applyHostRows(callCtx, rows); err != nil { // the host's own poll may end only after longPollLimit
		return err
	}
	self := h.self
	self.Lone = h.lone.Load()
	lost, rewritten := h.view().Membership.Lost(self, rows.MembershipUpdate), 0
	if lost.Host {
		if err := h.Platform.WriteHost(callCtx, self); err != nil {
			return err
		}
		rewritten++
	}
	if key := h.mesh.Key(); rows.Key == nil && key != nil {
		stored, err := h.Platform.CreateKey(callCtx, *key)
		if err != nil {
			return err
		}
		h.mesh.SetKey(stored) // another one if a host that has just started was faster
		rewritten++
	}
	for _, promotion := range lost.Promotions {
		written, err := h.restorePromotion(callCtx, promotion)
		if err != nil {
			return err
		}
		if written {
			rewritten++
		}
	}
	h.counters.Rewritten.Add(int64(rewritten))
	event.RowsRestored(h.Logger, position.Era, len(rows.Hosts), rewritten)
	return nil
}

// restorePromotion writes a known promotion again unless another host has done so, or has written a newer one, and reports whether it did.
func (h *Host) restorePromotion(ctx context.Context, known controller.Promotion) (written bool, err error) {
	row, err := h.readPromotion(ctx, known.Database)
	if err != nil || row.Token >= known.Token {
		return false, err
	}
	known.Position, known.Claim = row.Position, row.Claim
	err = h.writePromotion(ctx, known)
	if errors.Is(err, ErrConflict) {
		return false, nil
	}
	return err == nil, err
}
