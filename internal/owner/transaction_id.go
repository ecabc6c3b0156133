package owner

import (
	"strings"

	"redwingspread/internal/model"
)

// transactionParts is the number of parts of a transaction's name: database, host and request.
const transactionParts = 3

// nameTransaction names the transaction that a request began on this host.
func nameTransaction(database model.DatabaseID, host model.HostID, request model.RequestID) model.TransactionID {
	return model.TransactionID(strings.Join([]string{string(database), string(host), string(request)}, "/"))
}

// TransactionDatabase returns the database of a transaction, or a refusal of a name that is not one.
func TransactionDatabase(id model.TransactionID) (model.DatabaseID, error) {
	parts := strings.SplitN(string(id), "/", transactionParts)
	if len(parts) != transactionParts {
		return "", model.Refuse(model.CodeInvalid, "transaction %q is not a name of a transaction", id)
	}
	return model.DatabaseID(parts[0]), nil
}
