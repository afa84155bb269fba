package settings

import (
	"reflect"
	"strconv"
	"time"
)

// Values returns the names of a section that differ from their defaults, as
// text. Parse of the result gives the same section.
func Values(s Section) map[string]string {
	v := reflect.ValueOf(s)
	values := map[string]string{}
	for i := range v.NumField() {
		f := v.Type().Field(i)
		text := render(v.Field(i))
		if !sameAsDefault(v.Field(i), f.Tag.Get("default")) {
			values[f.Tag.Get("ini")] = text
		}
	}
	return values
}

// sameAsDefault reports whether the default text parses to the field's value.
func sameAsDefault(field reflect.Value, text string) bool {
	fresh := reflect.New(field.Type()).Elem()
	if set(fresh, text) != nil {
		return false
	}
	return fresh.Equal(field)
}

// render returns one field as text that set parses to the same value.
func render(field reflect.Value) string {
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
