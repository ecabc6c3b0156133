// Package ownership reads and writes the ownership rows in the table service, one row per database.
package ownership
