// Package platform is the hosts' side of the platform: table service, object store and list of members.
package platform
