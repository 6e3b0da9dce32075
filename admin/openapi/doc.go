// Package openapi describes the administration API as an OpenAPI 3.1 document,
// made from the table of routes and the messages that the server itself uses.
package openapi
