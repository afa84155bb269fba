package settings

import (
	"reflect"
	"strconv"
	"time"
)

// Values returns the settings of a section that differ from their defaults, as text by
// name. Parsing them gives the same section.
func Values(s Section) map[string]string {
	v := reflect.ValueOf(s)
	values := map[string]string{}
	for i := range v.NumField() {
		f := v.Type().Field(i)
		text := formatField(v.Field(i))
		if !isDefault(v.Field(i), f.Tag.Get("default")) {
			values[f.Tag.Get("ini")] = text
		}
	}
	return values
}

// isDefault reports whether the default text parses to the field's value.
func isDefault(field reflect.Value, text string) bool {
	def := reflect.New(field.Type()).Elem()
	if setField(def, text) != nil {
		return false
	}
	return def.Equal(field)
}

// formatField formats one field as text that setField parses to the same value.
func formatField(field reflect.Value) string {
	if field.Type() == durationType {
		return time.Duration(field.Int()).String()
	}
	switch field.Kind() {
	case reflect.Bool:
		if field.Bool() {
			return "yes"
		}
		return "no"
	case reflect.Float64:
		return strconv.FormatFloat(field.Float(), 'g', -1, 64)
	case reflect.Int:
		return strconv.FormatInt(field.Int(), 10)
	default:
		return field.String()
	}
}
