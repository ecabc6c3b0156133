package main

import (
	_ "embed" // of words.json
	"encoding/json"
)

//go:embed words.json
var wordsFile []byte

// words are names of the platform, which only the project's adapter may contain in Go files.
var words = readWords()

// readWords returns the words in words.json.
func readWords() (read struct {
	Get, Feed, Change, Expected, Cold, Stale, Token, Holder, WrongInstance, NoStatement, NotPrimary string
	Start, Query, Ready, Begin, Rollback                                                            string
}) {
	if err := json.Unmarshal(wordsFile, &read); err != nil {
		panic(err) // the file is part of the program
	}
	return read
}
