// Package rollout decides which accepted configuration is in force on a host. A host learns of new versions from the
// configuration's row in the table service and from its peers, fetches the newest and never goes back to an older one.
package rollout
