// Package config holds the fleet-wide configuration that operators write: its document of defaults and exceptions, the checks of
// the document, and the policy that is compiled from it.
package config
