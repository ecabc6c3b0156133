package quota

import "redwingspread/internal/model"

// Split decides how many of the slots each holder should have, by what each wants; the sum is at most the slots.
type Split func(slots model.Slots, wanted []model.Slots) []model.Slots

// Even gives each holder the same number of slots, whatever it wants: the baseline.
func Even(slots model.Slots, wanted []model.Slots) []model.Slots {
	shares := make([]model.Slots, len(wanted))
	for i := range shares {
		shares[i] = slots / model.Slots(len(wanted))
	}
	return shares
}

// Demand gives out slot after slot to the holder that has the fewest of those that want more.
func Demand(slots model.Slots, wanted []model.Slots) []model.Slots {
	shares := make([]model.Slots, len(wanted))
	for range slots {
		poorest := -1
		for i := range wanted {
			if shares[i] < wanted[i] && (poorest < 0 || shares[i] < shares[poorest]) {
				poorest = i
			}
		}
		if poorest < 0 {
			break
		}
		shares[poorest]++
	}
	return shares
}
