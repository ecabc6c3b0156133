// Package config is the operators' configuration: fleet-wide defaults, exceptions with reasons, and the policy they make.
package config
