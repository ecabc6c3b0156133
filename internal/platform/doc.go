// Package platform is the hosts' client of the platform: its table service, object store and list of members.
package platform
