package main

import "fmt"

// lineSchema is platform/schema/line.yaml.
type lineSchema struct {
	Messages []lineMessage `yaml:"messages"`
	Verbs    []lineVerb    `yaml:"verbs"`
	States   []lineState   `yaml:"states"`
	Codes    []lineCode    `yaml:"codes"`
}

// lineMessage is one kind of message.
type lineMessage struct {
	Name string `yaml:"name"`
	Word string `yaml:"word"`
}

// lineVerb is the word of one verb.
type lineVerb struct {
	Word string `yaml:"word"`
	Verb string `yaml:"verb"`
}

// lineState is the word of one state.
type lineState struct {
	Word  string `yaml:"word"`
	State string `yaml:"state"`
}

// lineCode is the word of one reason; several reasons may share a word, which is read as the first of them.
type lineCode struct {
	Word string `yaml:"word"`
	Code string `yaml:"code"`
}

// FirstCodes returns the first reason of each word.
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

// check refuses words and reasons that stand twice.
func (s lineSchema) check() error {
	seen := map[string]bool{}
	for _, verb := range s.Verbs {
		if seen[verb.Word] {
			return fmt.Errorf("line.yaml: %s stands twice", verb.Word)
		}
		seen[verb.Word] = true
	}
	for _, code := range s.Codes {
		if seen[code.Code] {
			return fmt.Errorf("line.yaml: %s stands twice", code.Code)
		}
		seen[code.Code] = true
	}
	return nil
}
