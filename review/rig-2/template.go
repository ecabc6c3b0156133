package main

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// render fills a settings template as DEPLOY.md describes it: values, sections, inverted sections, the key, and the comma.
func render(text string, data any) string {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		tag, rest, _ := strings.Cut(rest, "}}")
		if tag == "" || (tag[0] != '#' && tag[0] != '^') {
			out.WriteString(show(lookup(data, tag)))
			text = rest
			continue
		}
		body, after, _ := strings.Cut(rest, "{{/"+tag[1:]+"}}")
		value := lookup(data, tag[1:])
		if tag[0] == '#' {
			out.WriteString(renderSection(body, value, data))
		} else if !holds(value) {
			out.WriteString(render(body, data))
		}
		text = after
	}
}

// entry is the current entry of a section.
type entry struct {
	key, value any
	last       bool
	outer      any
}

// renderSection renders the body once for each entry of a list or table, or once if there is a value.
func renderSection(body string, value, outer any) string {
	var out strings.Builder
	switch value := value.(type) {
	case map[string]any:
		keys := make([]string, 0, len(value))
		for key := range value {
			keys = append(keys, key)
		}
		sort.Strings(keys)
		for i, key := range keys {
			out.WriteString(render(body, entry{key: key, value: value[key], last: i == len(keys)-1, outer: outer}))
		}
	case []any:
		for i, item := range value {
			out.WriteString(render(body, entry{key: i, value: item, last: i == len(value)-1, outer: outer}))
		}
	default:
		if holds(value) {
			return render(body, outer)
		}
	}
	return out.String()
}

// holds reports whether a section with the value is rendered.
func holds(value any) bool { return value != nil && value != false }

// lookup returns the value of a placeholder, or nil.
func lookup(data any, path string) any {
	if current, found := data.(entry); found {
		switch path {
		case ".":
			return current.value
		case "@":
			return current.key
		case ",":
			if current.last {
				return ""
			}
			return ","
		}
		return lookup(current.outer, path)
	}
	for _, name := range strings.Split(path, ".") {
		switch value := data.(type) {
		case map[string]any:
			data = value[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(value) {
				return nil
			}
			data = value[i]
		default:
			return nil
		}
	}
	return data
}

// show formats a value; nothing is returned if there is none.
func show(value any) string {
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}
