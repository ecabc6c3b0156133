// Command schemagen generates Go code and documentation from the schemas of settings, log events and the platform's line protocol.
package main
