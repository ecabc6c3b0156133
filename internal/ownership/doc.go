// Package ownership reads and writes the ownership rows in the table service, one row a database.
package ownership
