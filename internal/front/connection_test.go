package front_test

import "testing"

// TestRefusedSetupIsNotReused guards against a connection that is reused as if the instance had taken a value or a prepared
// statement that it refused, since it had ceased to be the primary: other sessions' statements would run with a foreign value.
func TestRefusedSetupIsNotReused(t *testing.T) {
	tests := map[string]struct {
		refused []string // statements after the loss of the lead; the host answers the first one itself
		steps   []string // statements once the instance leads again
	}{
		"value":                               {refused: []string{"SET session two", "READ two:a"}, steps: []string{"WRITE b two:x", "READ two:b"}},
		"prepared statement":                  {refused: []string{"PREPARE p READ q", "EXEC p one:a"}, steps: []string{"BEGIN", "EXEC p one:a", "COMMIT"}},
		"value and prepared in one statement": {refused: []string{"SET session two", "PREPARE p WRITE q", "EXEC p b two:x"}, steps: []string{"BEGIN", "EXEC p b two:x", "COMMIT", "EXEC p b two:y"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			s := f.openSession(f.hosts[0], "desk")
			f.run(s, "SET session one", "BEGIN", "WRITE a one:x")
			f.demote("seats-0")
			for _, text := range test.refused {
				got, err := s.Query(text)
				if err != nil {
					t.Fatalf("%s: got %v, want an answer", text, err)
				}
				if last := test.refused[len(test.refused)-1]; (got.Code != "") != (text == last) {
					t.Fatalf("%s: got %+v, want only %q to be refused", text, got, last)
				}
			}
			f.run(s, "ROLLBACK")
			f.database.PromoteUnchecked("seats-0")
			f.eventually("the host writes again", func() bool {
				got, err := s.Query("WRITE back 1")
				return err == nil && got.Code == ""
			})
			f.run(s, test.steps...)
			if got := f.database.Violations(); len(got) > 0 {
				t.Errorf("got violations %v, want none", got)
			}
		})
	}
}
