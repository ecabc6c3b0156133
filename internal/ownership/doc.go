// Package row reads and writes the ownership rows of the table service.
package ownership
