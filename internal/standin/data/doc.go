// Package data is the small data model of the stand-in databases: enrolment in classes and lending of lamps.
package data
