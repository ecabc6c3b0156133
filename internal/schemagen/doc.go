// Command schemagen writes the settings and the log events of the schema as Go code and as pages of the docs.
package main
