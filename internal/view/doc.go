// Package view holds the immutable snapshot that control publishes and traffic reads without locks.
package view
