package main

import (
	_ "embed" // of words.json
	"encoding/json"
)

//go:embed words.json
var wordsFile []byte

// words are names of the platform that only its adapter may contain in Go files.
var words = readWords()

// readWords returns the words in words.json.
func readWords() (read struct{ Request, Ready, Cold string }) {
	if err := json.Unmarshal(wordsFile, &read); err != nil {
		panic(err) // the file is part of the program
	}
	return read
}
