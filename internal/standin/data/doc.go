// Package data implements the small database behind the stand-in instances. Its schema and operations model enrolment in
// classes and the lending of lamps by a library. Changes since the last commit can be rolled back.
package data
