// Package platformapi is the generated platform interface: table service, object store and list of members.
package platformapi
