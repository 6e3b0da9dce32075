package openapi

import (
	"reflect"
	"strings"
	"time"
)

// Schema is a JSON schema.
type Schema struct {
	Ref        string            `json:"$ref,omitempty"`
	Type       string            `json:"type,omitempty"`
	Format     string            `json:"format,omitempty"`
	Properties map[string]Schema `json:"properties,omitempty"`
	Required   []string          `json:"required,omitempty"`
	Items      *Schema           `json:"items,omitempty"`
}

// schemas collects the schemas of named structs.
type schemas struct {
	named map[string]Schema
}

func newSchemas() *schemas { return &schemas{named: map[string]Schema{}} }

// of returns the schema of a sample's type.
func (s *schemas) of(sample any) Schema { return s.ofType(reflect.TypeOf(sample)) }

var timeType = reflect.TypeFor[time.Time]()

func (s *schemas) ofType(t reflect.Type) Schema {
	switch t.Kind() {
	case reflect.Pointer:
		return s.ofType(t.Elem())
	case reflect.Slice, reflect.Array:
		items := s.ofType(t.Elem())
		return Schema{Type: "array", Items: &items}
	case reflect.Bool:
		return Schema{Type: "boolean"}
	case reflect.Float32, reflect.Float64:
		return Schema{Type: "number"}
	case reflect.String:
		return Schema{Type: "string"}
	case reflect.Struct:
		return s.ofStruct(t)
	default:
		return Schema{Type: "integer"}
	}
}

func (s *schemas) ofStruct(t reflect.Type) Schema {
	if t == timeType {
		return Schema{Type: "string", Format: "date-time"}
	}
	if t.Implements(reflect.TypeFor[interface{ MarshalText() ([]byte, error) }]()) {
		return Schema{Type: "string"}
	}
	name := schemaName(t)
	ref := Schema{Ref: "#/components/schemas/" + name}
	if _, known := s.named[name]; known {
		return ref
	}
	s.named[name] = Schema{}
	schema := Schema{Type: "object", Properties: map[string]Schema{}}
	s.fields(t, &schema)
	s.named[name] = schema
	return ref
}

func (s *schemas) fields(t reflect.Type, into *Schema) {
	for field := range fieldsOf(t) {
		name, options, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.Anonymous && name == "" {
			s.fields(field.Type, into)
			continue
		}
		if name == "-" {
			continue
		}
		if name == "" {
			name = field.Name
		}
		into.Properties[name] = s.ofType(field.Type)
		if !strings.Contains(options, "omitempty") {
			into.Required = append(into.Required, name)
		}
	}
}

func fieldsOf(t reflect.Type) func(func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if field := t.Field(i); field.IsExported() && !yield(field) {
				return
			}
		}
	}
}

// schemaName joins the package's and the type's names, as two packages may
// have types of one name.
func schemaName(t reflect.Type) string {
	path := t.PkgPath()
	return path[strings.LastIndex(path, "/")+1:] + "." + t.Name()
}
