package main

import "fmt"

// lineSchema is the content of platform/schema/line.yaml, the words of the platform's line protocol.
type lineSchema struct {
	Messages []lineMessage `yaml:"messages"`
	Verbs    []lineVerb    `yaml:"verbs"`
	States   []lineState   `yaml:"states"`
	Codes    []lineCode    `yaml:"codes"`
}

// lineMessage is the word that begins one kind of message.
type lineMessage struct {
	Name string `yaml:"name"`
	Word string `yaml:"word"`
}

// lineVerb is the word of one statement verb.
type lineVerb struct {
	Word string `yaml:"word"`
	Verb string `yaml:"verb"`
}

// lineState is the word of one transaction state.
type lineState struct {
	Word  string `yaml:"word"`
	State string `yaml:"state"`
}

// lineCode is the word of one refusal code; codes can share a word, which is then decoded as the first of them.
type lineCode struct {
	Word string `yaml:"word"`
	Code string `yaml:"code"`
}

// FirstCodes returns the code that each word is decoded as.
func (s lineSchema) FirstCodes() (first []lineCode) {
	seen := map[string]bool{}
	for _, code := range s.Codes {
		if !seen[code.Word] {
			seen[code.Word] = true
			first = append(first, code)
		}
	}
	return first
}

// check rejects duplicate words of verbs and duplicate codes.
func (s lineSchema) check() error {
	seen := map[string]bool{}
	for _, verb := range s.Verbs {
		if seen[verb.Word] {
			return fmt.Errorf("line.yaml: %s is defined twice", verb.Word)
		}
		seen[verb.Word] = true
	}
	for _, code := range s.Codes {
		if seen[code.Code] {
			return fmt.Errorf("line.yaml: %s is defined twice", code.Code)
		}
		seen[code.Code] = true
	}
	return nil
}
