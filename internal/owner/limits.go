package owner

import (
	"redwingspread/internal/dispatch"
	"redwingspread/internal/view"
)

// updateLimits hands a dispatcher the floors of the configuration in force and the limits that its instance reports.
func updateLimits(fleet *view.View, instance *view.Instance, dispatcher *dispatch.Dispatcher) {
	if fleet.Policy.Ready() {
		dispatcher.SetFloors(fleet.Policy.RankFloors)
	}
	if instance != nil && instance.State.Slots > 0 {
		dispatcher.SetLimits(instance.State.Slots, instance.State.Connections)
	}
}
