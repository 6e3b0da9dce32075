package openapi

import (
	"strings"

	"github.com/goccy/go-json"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin"
	"github.com/yuccaroute/yuccaroute/admin/wire"
)

// Document is an OpenAPI document.
type Document struct {
	OpenAPI    string                          `json:"openapi"`
	Info       Info                            `json:"info"`
	Servers    []Server                        `json:"servers"`
	Paths      map[string]map[string]Operation `json:"paths"`
	Components Components                      `json:"components"`
	Security   []map[string][]string           `json:"security"`
}

// Info names the API.
type Info struct {
	Title       string `json:"title"`
	Version     string `json:"version"`
	Description string `json:"description"`
}

// Server is where the paths begin.
type Server struct {
	URL string `json:"url"`
}

// Operation is one method of one path.
type Operation struct {
	OperationID string              `json:"operationId"`
	Summary     string              `json:"summary"`
	Description string              `json:"description"`
	Parameters  []Parameter         `json:"parameters,omitempty"`
	RequestBody *Body               `json:"requestBody,omitempty"`
	Responses   map[string]Response `json:"responses"`
}

// Parameter is a part of the path, the query or the header.
type Parameter struct {
	Name        string `json:"name"`
	In          string `json:"in"`
	Required    bool   `json:"required"`
	Description string `json:"description,omitempty"`
	Schema      Schema `json:"schema"`
}

// Body is a request's body.
type Body struct {
	Required bool             `json:"required"`
	Content  map[string]Media `json:"content"`
}

// Response is an answer.
type Response struct {
	Description string           `json:"description"`
	Content     map[string]Media `json:"content"`
}

// Media is the schema of one content type.
type Media struct {
	Schema Schema `json:"schema"`
}

// Components holds schemas by name.
type Components struct {
	Schemas         map[string]Schema         `json:"schemas"`
	SecuritySchemes map[string]SecurityScheme `json:"securitySchemes"`
}

// SecurityScheme is a way to authenticate.
type SecurityScheme struct {
	Type   string `json:"type"`
	Scheme string `json:"scheme"`
}

const (
	mediaType     = "application/json"
	schemeName    = "token"
	statusOK      = "200"
	statusDefault = "default"
)

// Generate returns the document of the API as indented JSON.
func Generate() ([]byte, error) {
	schemas := newSchemas()
	doc := Document{
		OpenAPI: "3.1.0",
		Info: Info{
			Title:       "yuccaroute administration",
			Version:     "1",
			Description: "Every answer has the headers Yucca-Result, a numbered result, and Yucca-Outcome. A change that is answered as unknown is safe to repeat under its identifier.",
		},
		Servers:  []Server{{URL: strings.TrimSuffix(admin.PathPrefix, "/")}},
		Paths:    map[string]map[string]Operation{},
		Security: []map[string][]string{{schemeName: {}}},
	}
	for _, route := range admin.Routes() {
		path := "/" + route.Path
		if doc.Paths[path] == nil {
			doc.Paths[path] = map[string]Operation{}
		}
		doc.Paths[path][strings.ToLower(route.Method)] = operation(&route, schemas)
	}
	doc.Components = Components{
		Schemas:         schemas.named,
		SecuritySchemes: map[string]SecurityScheme{schemeName: {Type: "http", Scheme: "bearer"}},
	}
	text, err := json.MarshalIndent(&doc, "", "  ")
	return append(text, '\n'), errors.Wrap(err, "openapi: encode")
}

func operation(route *admin.Route, schemas *schemas) Operation {
	op := Operation{
		OperationID: operationID(route),
		Summary:     route.Summary,
		Description: "Requires the right to " + string(route.Access) + ".",
		Parameters:  parameters(route),
		Responses: map[string]Response{
			statusOK:      {Description: "Done.", Content: content(schemas.of(route.Answer))},
			statusDefault: {Description: "Not done, or not known to be done.", Content: content(schemas.of(wire.Error{}))},
		},
	}
	if route.Request != nil {
		op.RequestBody = &Body{Required: true, Content: content(schemas.of(route.Request))}
	}
	return op
}

func content(schema Schema) map[string]Media { return map[string]Media{mediaType: {Schema: schema}} }

func operationID(route *admin.Route) string {
	words := []string{strings.ToLower(route.Method)}
	for part := range strings.SplitSeq(route.Path, "/") {
		words = append(words, strings.Trim(part, "{}"))
	}
	return strings.Join(words, "-")
}

func parameters(route *admin.Route) []Parameter {
	text := Schema{Type: "string"}
	var out []Parameter
	for _, name := range route.Parameters() {
		out = append(out, Parameter{Name: name, In: "path", Required: true, Schema: text})
	}
	for _, name := range route.Query {
		out = append(out, Parameter{Name: name, In: "query", Schema: text})
	}
	if route.Conditional {
		out = append(out,
			Parameter{Name: "If-Match", In: "header", Schema: text, Description: "The ETag that was read, or * to overwrite."},
			Parameter{Name: "If-None-Match", In: "header", Schema: text, Description: "* to create."},
		)
	}
	return out
}
