package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed words.json
var wordsFile []byte

// word holds the names of the platform's interfaces by what they stand for.
var word = func() map[string]string {
	words := make(map[string]string)
	if err := json.Unmarshal(wordsFile, &words); err != nil {
		panic(err)
	}
	return words
}()
