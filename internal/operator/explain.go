package operator

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// Setting is one setting as it counts.
type Setting struct {
	Name  string // as in the file, tables in an array by their number: mail.partner[0].kind
	Value any    // a string, a number, a bool or a list of such; nil: there is none, or the section is off
	Given bool   // the file says so; else it is the default
}

// Explain lists all settings of a file that Parse made of text, in the order of the sections here.
func Explain(f *File, text string) ([]Setting, error) {
	given := map[string]any{}
	if _, err := toml.Decode(text, &given); err != nil {
		return nil, err
	}
	return explain(nil, "", reflect.ValueOf(f).Elem(), given), nil
}

// explain adds the settings below a value, of which the file has what is given, nil for nothing.
func explain(out []Setting, name string, v reflect.Value, given any) []Setting {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return append(out, Setting{Name: name})
		}
		return explain(out, name, v.Elem(), given)
	case reflect.Struct:
		table, _ := given.(map[string]any)
		for i := range v.NumField() {
			key := v.Type().Field(i).Tag.Get("toml")
			if key == "" {
				continue
			}
			at := key
			if name != "" {
				at = name + "." + key
			}
			out = explain(out, at, v.Field(i), lookup(table, key))
		}
		return out
	case reflect.Map:
		table, _ := given.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(table)) {
			out = append(out, Setting{Name: name + "." + key, Value: table[key], Given: true})
		}
		return out
	case reflect.Slice:
		if v.Type().Elem().Kind() != reflect.Struct {
			if given == nil && v.Len() == 0 {
				return append(out, Setting{Name: name})
			}
			break
		}
		if v.Len() == 0 {
			return append(out, Setting{Name: name})
		}
		list := reflect.ValueOf(given) // of tables, or of any
		for i := range v.Len() {
			out = explain(out, fmt.Sprintf("%s[%d]", name, i), v.Index(i), list.Index(i).Interface())
		}
		return out
	}
	return append(out, Setting{Name: name, Value: v.Interface(), Given: given != nil})
}

// lookup finds a key as the decoder does, which does not tell case apart where nothing fits better.
func lookup(table map[string]any, key string) any {
	if v, ok := table[key]; ok {
		return v
	}
	for k, v := range table {
		if strings.EqualFold(k, key) {
			return v
		}
	}
	return nil
}
