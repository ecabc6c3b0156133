// Package quota lends parts of an instance's slots and connections to hosts, so that their sum never passes the limit.
package quota
