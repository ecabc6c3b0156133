// Package platformapi contains the generated HTTP client and server of the platform interface: transactional table service,
// object store and list of members.
package platformapi
