package kubeapi

import (
	"fmt"
	"slices"
	"strings"
)

// requirement is one part of a label selector.
type requirement struct {
	key    string
	op     string // =, !=, in, notin, exists, !
	values []string
}

func (r requirement) matches(labels map[string]string) bool {
	v, ok := labels[r.key]
	switch r.op {
	case "exists":
		return ok
	case "!":
		return !ok
	case "=", "in":
		return ok && slices.Contains(r.values, v)
	}
	return !ok || !slices.Contains(r.values, v) // != and notin
}

// parseSelector reads a label selector: a=b, a==b, a!=b, a in (b,c), a notin (b,c), a, !a, with commas between.
func parseSelector(text string) (all []requirement, err error) {
	for rest := strings.TrimSpace(text); rest != ""; {
		part := rest
		depth, end := 0, len(rest)
		for i, c := range rest {
			switch c {
			case '(':
				depth++
			case ')':
				depth--
			}
			if c == ',' && depth == 0 {
				end = i
				break
			}
		}
		part, rest = strings.TrimSpace(rest[:end]), strings.TrimSpace(strings.TrimPrefix(rest[end:], ","))
		r, err := parseRequirement(part)
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}

func parseRequirement(part string) (r requirement, err error) {
	if key, ok := strings.CutPrefix(part, "!"); ok {
		return requirement{key: strings.TrimSpace(key), op: "!"}, nil
	}
	for _, op := range []string{"!=", "==", "="} {
		if key, value, ok := strings.Cut(part, op); ok && !strings.Contains(part, "(") {
			if op == "==" {
				op = "="
			}
			return requirement{strings.TrimSpace(key), op, []string{strings.TrimSpace(value)}}, nil
		}
	}
	words := strings.Fields(strings.ReplaceAll(part, "(", " ("))
	switch {
	case len(words) == 1:
		return requirement{key: words[0], op: "exists"}, nil
	case len(words) >= 3 && (words[1] == "in" || words[1] == "notin"):
		list := strings.Join(words[2:], "")
		if !strings.HasPrefix(list, "(") || !strings.HasSuffix(list, ")") {
			break
		}
		return requirement{words[0], words[1], strings.Split(list[1:len(list)-1], ",")}, nil
	}
	return r, fmt.Errorf("unable to parse requirement: %q", part)
}
