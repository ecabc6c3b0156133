// Package api runs the generation of the HTTP interfaces in its subpackages from the OpenAPI documents in schema/.
package api

//go:generate go tool ogen --config ../../schema/ogen.yaml --target callerapi --package callerapi --clean ../../schema/caller.yaml
//go:generate go tool ogen --config ../../schema/ogen.yaml --target operatorapi --package operatorapi --clean ../../schema/operator.yaml
//go:generate go tool ogen --config ../../schema/ogen.yaml --target endpointapi --package endpointapi --clean ../../schema/endpoint.yaml
//go:generate go tool ogen --config ../../schema/ogen.yaml --target platformapi --package platformapi --clean ../../schema/platform.yaml
//go:generate go tool ogen --config ../../schema/ogen.yaml --target peerapi --package peerapi --clean ../../schema/peer.yaml
//go:generate go tool ogen --config ../../schema/ogen.yaml --target standinapi --package standinapi --clean ../../schema/standin.yaml
//go:generate go tool ogen --config ../../schema/ogen.yaml --target meshapi --package meshapi --clean ../../schema/mesh.yaml
//go:generate go tool ogen --config ../../schema/ogen.yaml --target frontapi --package frontapi --clean ../../schema/front.yaml
