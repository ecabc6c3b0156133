// Package budget decides who may use how much of the memory that a process sets aside for its clients.
package budget
