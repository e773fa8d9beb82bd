package check

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

// unmarshalerType is json.Unmarshaler. A type that implements it checks its own
// JSON.
var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// matchType records a problem for each value of tree that does not fit the Go
// type t. Field is the dotted path of tree.
func matchType(report *Report, field string, tree any, t reflect.Type) {
	if t.Implements(unmarshalerType) || reflect.PointerTo(t).Implements(unmarshalerType) {
		return
	}
	if t.Kind() == reflect.Pointer {
		if tree != nil {
			matchType(report, field, tree, t.Elem())
		}
		return
	}
	if tree == nil {
		report.Add(field, json.RawMessage("null"), describeValue(field, t))
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		matchStruct(report, field, tree, t)
	case reflect.Map:
		matchMap(report, field, tree, t)
	case reflect.Slice, reflect.Array:
		matchSlice(report, field, tree, t)
	default:
		matchScalar(report, field, tree, t)
	}
}

func matchStruct(report *Report, field string, tree any, t reflect.Type) {
	object, ok := tree.(map[string]any)
	if !ok {
		report.Add(field, tree, describeValue(field, t))
		return
	}
	known := fieldTypes(t)
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		inner := joinField(field, name)
		fieldType, ok := known[name]
		if !ok {
			report.Add(inner, object[name], suggestField(name, known))
			continue
		}
		matchType(report, inner, object[name], fieldType)
	}
}

func matchMap(report *Report, field string, tree any, t reflect.Type) {
	object, ok := tree.(map[string]any)
	if !ok {
		report.Add(field, tree, describeValue(field, t))
		return
	}
	for name, value := range object {
		matchType(report, joinField(field, name), value, t.Elem())
	}
}

func matchSlice(report *Report, field string, tree any, t reflect.Type) {
	array, ok := tree.([]any)
	if !ok {
		report.Add(field, tree, describeValue(field, t))
		return
	}
	for i, value := range array {
		matchType(report, indexField(field, i), value, t.Elem())
	}
}

func matchScalar(report *Report, field string, tree any, t reflect.Type) {
	ok := true
	switch t.Kind() {
	case reflect.String:
		_, ok = tree.(string)
	case reflect.Bool:
		_, ok = tree.(bool)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		ok = fitsInteger(tree, t)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		ok = fitsUnsigned(tree, t)
	case reflect.Float32, reflect.Float64:
		ok = fitsFloat(tree)
	}
	if !ok {
		report.Add(field, tree, describeValue(field, t))
	}
}

func fitsInteger(tree any, t reflect.Type) bool {
	number, ok := tree.(json.Number)
	if !ok {
		return false
	}
	_, err := strconv.ParseInt(number.String(), 10, t.Bits())
	return err == nil
}

func fitsUnsigned(tree any, t reflect.Type) bool {
	number, ok := tree.(json.Number)
	if !ok {
		return false
	}
	_, err := strconv.ParseUint(number.String(), 10, t.Bits())
	return err == nil
}

func fitsFloat(tree any) bool {
	number, ok := tree.(json.Number)
	if !ok {
		return false
	}
	value, err := number.Float64()
	return err == nil && !math.IsInf(value, 0)
}

// fieldTypes returns the JSON fields of struct type t, those of embedded
// structs included.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type)
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		switch {
		case name == "-":
		case field.Anonymous && name == "" && field.Type.Kind() == reflect.Struct:
			for inner, innerType := range fieldTypes(field.Type) {
				fields[inner] = innerType
			}
		case !field.IsExported():
		case name == "":
			fields[field.Name] = field.Type
		default:
			fields[name] = field.Type
		}
	}
	return fields
}

// unitSuffixes are the endings of field names that carry a unit.
var unitSuffixes = []struct{ suffix, unit string }{
	{"_ms", "milliseconds"},
	{"_seconds", "seconds"},
	{"_per_second", "a second"},
	{"_bytes", "bytes"},
}

// withoutUnit returns the field name without its unit. The list includes units that
// no field of the settings uses, so that a name with a wrong unit matches its field.
func withoutUnit(name string) string {
	for _, suffix := range []string{"_ms", "_per_second", "_seconds", "_bytes", "_s", "_sec", "_min", "_us", "_kb", "_mb"} {
		if base, found := strings.CutSuffix(name, suffix); found {
			return base
		}
	}
	return name
}

// suggestField returns the text of Problem.Want for an unknown field: a known field
// that differs only in case or unit, or else a list of the known ones.
func suggestField(name string, known map[string]reflect.Type) string {
	names := make([]string, 0, len(known))
	for candidate := range known {
		names = append(names, candidate)
	}
	slices.Sort(names)
	for _, candidate := range names {
		if withoutUnit(strings.ToLower(name)) == withoutUnit(candidate) {
			return "field " + candidate + ", " + describeValue(candidate, known[candidate])
		}
	}
	return "one of the fields " + strings.Join(names, ", ")
}

// describeValue describes a value of type t for a field, with the unit from the
// field's name.
func describeValue(field string, t reflect.Type) string {
	kind := kindName(t)
	for _, entry := range unitSuffixes {
		if strings.HasSuffix(field, entry.suffix) {
			return fmt.Sprintf("%s (%s)", kind, entry.unit)
		}
	}
	return kind
}

// kindName describes a value of type t without its unit.
func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice, reflect.Array:
		return "an array, each element " + kindName(t.Elem())
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Pointer:
		return kindName(t.Elem()) + " or null"
	case reflect.Interface:
		return "any value"
	default:
		return "an integer that fits " + t.Kind().String()
	}
}
