package owner

import (
	"testing"

	"redwingspread/internal/model"
)

func TestTransactionDatabase(t *testing.T) {
	tests := map[string]struct {
		id      model.TransactionID
		want    model.DatabaseID
		wantErr bool
	}{
		"named by this package":     {id: nameTransaction("seats", "host-1", "r-1"), want: "seats"},
		"request with a slash":      {id: nameTransaction("seats", "host-1", "r/1"), want: "seats"},
		"text without its parts":    {id: "seats", wantErr: true},
		"empty text of no database": {id: "", wantErr: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := TransactionDatabase(test.id)
			if got != test.want || (err != nil) != test.wantErr {
				t.Errorf("got %q, %v, want %q, error %v", got, err, test.want, test.wantErr)
			}
		})
	}
}
