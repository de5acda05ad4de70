package wire

import (
	"fmt"
	"sort"
	"strings"
)

// Plain is a name or value as the flat form has it: spaces and commas become underscores. It is asked for each class and
// tenant of each request; most names are plain, and are returned as they are.
func Plain(s string) string {
	at := strings.IndexAny(s, " ,")
	if at < 0 {
		return s
	}
	b := []byte(s)
	for i := at; i < len(b); i++ {
		if b[i] == ' ' || b[i] == ',' {
			b[i] = '_'
		}
	}
	return string(b)
}

// Flatten turns nested settings, as a configuration in JSON has them, into the path=value lines that ParseSettings reads.
func Flatten(settings map[string]any) string {
	var b strings.Builder
	flattenInto(&b, "", settings)
	return b.String()
}

func flattenInto(b *strings.Builder, at string, v any) {
	switch v := v.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			flattenInto(b, strings.TrimPrefix(at+"."+k, "."), v[k])
		}
	case []any:
		flat := make([]string, len(v))
		objects := len(v) == 0 // an empty list may be of either sort
		for i, item := range v {
			if _, ok := item.(map[string]any); ok {
				objects = true
				flattenInto(b, fmt.Sprintf("%s.%d", at, i), item)
			}
			flat[i] = Plain(fmt.Sprint(item))
		}
		if objects {
			fmt.Fprintf(b, "%s.count=%d\n", at, len(v))
		}
		if !objects || len(v) == 0 {
			fmt.Fprintf(b, "%s=%s\n", at, strings.Join(flat, ","))
		}
	case nil:
	default:
		fmt.Fprintf(b, "%s=%s\n", at, strings.ReplaceAll(Plain(fmt.Sprint(v)), "\n", "_"))
	}
}
