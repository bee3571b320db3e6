package dogwoodsettings

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// walk compares the source with the Go type that it is decoded into. It records the offset
// of each field and reports unknown and repeated fields. encoding/json would silently ignore
// unknown fields, so that a misspelt "Replicsa" would mean the default, and would use the
// last of repeated ones.
func (report *report) walk(value *hujson.Value, typ reflect.Type, path string) {
	report.offsets[path] = value.StartOffset
	switch node := value.Value.(type) {
	case *hujson.Object:
		report.walkObject(node, typ, path)
	case *hujson.Array:
		report.walkArray(node, typ, path)
	case hujson.Literal:
		report.checkLiteral(node, typ, path)
	}
}

func (report *report) walkObject(object *hujson.Object, typ reflect.Type, path string) {
	if typ.Kind() != reflect.Struct || isTextUnmarshaler(typ) {
		report.add(path, "is an object, where %s belongs", describeType(typ))
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := literalString(member.Name.Value)
		fieldPath := joinPath(path, name)
		if seen[name] {
			report.addAtOffset(member.Name.StartOffset, fieldPath, "is given twice")
			continue
		}
		seen[name] = true
		field, known := typ.FieldByName(name)
		if !known || !field.IsExported() {
			report.addAtOffset(member.Name.StartOffset, fieldPath, "is unknown; known are "+fieldNames(typ))
			continue
		}
		report.walk(&member.Value, field.Type, fieldPath)
	}
}

func (report *report) walkArray(array *hujson.Array, typ reflect.Type, path string) {
	if typ.Kind() != reflect.Slice {
		report.add(path, "is a list, where %s belongs", describeType(typ))
		return
	}
	for i := range array.Elements {
		report.walk(&array.Elements[i], typ.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

// checkLiteral reports a literal that can't be decoded into its type. encoding/json's errors
// lack the offset, so each literal is decoded here, where its path is known.
func (report *report) checkLiteral(literal hujson.Literal, typ reflect.Type, path string) {
	if literal.Kind() == 'n' {
		report.add(path, "is null, where %s belongs", describeType(typ))
		return
	}
	if err := json.Unmarshal([]byte(literal), reflect.New(typ).Interface()); err != nil {
		report.add(path, "%s", literalMessage(literal, typ, err))
	}
}

func literalMessage(literal hujson.Literal, typ reflect.Type, err error) string {
	if isTextUnmarshaler(typ) && literal.Kind() == '"' {
		return strings.TrimPrefix(err.Error(), "settings: ")
	}
	return fmt.Sprintf("is %s, where %s belongs", []byte(literal), describeType(typ))
}

func literalString(value hujson.ValueTrimmed) string {
	literal, isLiteral := value.(hujson.Literal)
	if !isLiteral {
		return ""
	}
	return literal.String()
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldNames(typ reflect.Type) string {
	names := make([]string, 0, typ.NumField())
	for field := range typ.Fields() {
		names = append(names, field.Name)
	}
	return strings.Join(names, ", ")
}

func isTextUnmarshaler(typ reflect.Type) bool {
	return reflect.PointerTo(typ).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

// describeType returns the description of a type for problem messages.
func describeType(typ reflect.Type) string {
	switch {
	case typ == reflect.TypeFor[Duration]():
		return `a duration such as "1.5s"`
	case isTextUnmarshaler(typ):
		return `an address such as "10.0.0.1:80"`
	}
	switch typ.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	default:
		return "a number"
	}
}
