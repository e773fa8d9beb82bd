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

// unmarshaler is the type of json.Unmarshaler.
var unmarshaler = reflect.TypeFor[json.Unmarshaler]()

// matchType records where tree does not fit the Go type t.
func matchType(report *Report, field string, tree any, t reflect.Type) {
	if t.Implements(unmarshaler) || reflect.PointerTo(t).Implements(unmarshaler) {
		return
	}
	if t.Kind() == reflect.Pointer {
		if tree != nil {
			matchType(report, field, tree, t.Elem())
		}
		return
	}
	if tree == nil {
		report.Add(field, json.RawMessage("null"), wantOf(field, t))
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
		report.Add(field, tree, wantOf(field, t))
		return
	}
	known := fieldTypes(t)
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		inner := join(field, name)
		fieldType, ok := known[name]
		if !ok {
			report.Add(inner, object[name], wantInstead(name, known))
			continue
		}
		matchType(report, inner, object[name], fieldType)
	}
}

func matchMap(report *Report, field string, tree any, t reflect.Type) {
	object, ok := tree.(map[string]any)
	if !ok {
		report.Add(field, tree, wantOf(field, t))
		return
	}
	for name, value := range object {
		matchType(report, join(field, name), value, t.Elem())
	}
}

func matchSlice(report *Report, field string, tree any, t reflect.Type) {
	array, ok := tree.([]any)
	if !ok {
		report.Add(field, tree, wantOf(field, t))
		return
	}
	for i, value := range array {
		matchType(report, index(field, i), value, t.Elem())
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
		report.Add(field, tree, wantOf(field, t))
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

// stem returns the field name without its unit.
func stem(name string) string {
	for _, wrong := range []string{"_ms", "_per_second", "_seconds", "_bytes", "_s", "_sec", "_min", "_us", "_kb", "_mb"} {
		if base, found := strings.CutSuffix(name, wrong); found {
			return base
		}
	}
	return name
}

// wantInstead names the known field that an unknown one was likely meant to be,
// or lists the known ones.
func wantInstead(name string, known map[string]reflect.Type) string {
	names := make([]string, 0, len(known))
	for candidate := range known {
		names = append(names, candidate)
	}
	slices.Sort(names)
	for _, candidate := range names {
		if stem(strings.ToLower(name)) == stem(candidate) {
			return "field " + candidate + ", " + wantOf(candidate, known[candidate])
		}
	}
	return "one of the fields " + strings.Join(names, ", ")
}

// wantOf describes a value of type t for a field, with the unit that the
// field's name carries.
func wantOf(field string, t reflect.Type) string {
	kind := kindName(t)
	for _, entry := range unitSuffixes {
		if strings.HasSuffix(field, entry.suffix) {
			return fmt.Sprintf("%s (%s)", kind, entry.unit)
		}
	}
	return kind
}

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
