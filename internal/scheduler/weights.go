package scheduler

import "redwingspread/internal/model"

// SetWeights sets the weights by which tenants share the slots; nil means that no tenants are configured.
func (s *Scheduler[C]) SetWeights(weights *model.TenantWeights) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applySettings()
	s.Policy.SetWeights(weights)
}
