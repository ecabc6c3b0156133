package owner

import (
	"redwingspread/internal/dispatch"
	"redwingspread/internal/view"
)

// updateLimits sets a dispatcher's rank floors from the configuration and its slots and connections from the instance's state.
func updateLimits(currentView *view.View, instance *view.Instance, dispatcher *dispatch.Dispatcher) {
	if currentView.Policy.Ready() {
		dispatcher.SetFloors(currentView.Policy.RankFloors)
	}
	if instance != nil && instance.State.Slots > 0 {
		dispatcher.SetLimits(instance.State.Slots, instance.State.Connections)
	}
}
