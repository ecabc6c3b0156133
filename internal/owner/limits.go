package owner

import (
	"redwingspread/internal/dispatch"
	"redwingspread/internal/view"
)

// updateLimits sets a dispatcher's rank floors from the configuration and its slots and connections from the instance's state.
func updateLimits(fleet *view.View, instance *view.Instance, dispatcher *dispatch.Dispatcher) {
	if fleet.Policy.Ready() {
		dispatcher.SetFloors(fleet.Policy.RankFloors)
	}
	if instance != nil && instance.State.Slots > 0 {
		dispatcher.SetLimits(instance.State.Slots, instance.State.Connections)
	}
}
