package admin

import (
	"strings"

	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/steering/explain"
)

// Access is what a route requires of the caller besides the scope of the
// account or template in its path.
type Access string

const (
	accessRead   Access = "read"
	accessChange Access = "change"
	accessOwner  Access = "owner"
)

// Route is one operation of the API. The OpenAPI file is made from the table.
type Route struct {
	Method string
	// Path is relative to PathPrefix, with parameters in braces.
	Path    string
	Summary string
	Access  Access
	// Query lists the optional query parameters.
	Query []string
	// Conditional tells that the request needs If-Match or If-None-Match.
	Conditional bool
	// Request and Answer are samples of the messages; Request is nil when
	// there is no body.
	Request any
	Answer  any
	serve   func(*call) (any, error)
}

func (r *Route) pattern() string { return r.Method + " " + PathPrefix + r.Path }

// Routes returns all operations.
func Routes() []Route { return append([]Route(nil), routes...) }

const (
	pathTemplates = "templates"
	pathTemplate  = "templates/{template}"
	pathAccounts  = "accounts"
	pathAccount   = "accounts/{account}"
)

// routes is filled by init, as the table refers to handlers and they to it.
var routes []Route

func init() {
	routes = append(routes,
		Route{Method: "GET", Path: "whoami", Summary: "Who the caller is and what they may touch", Access: accessRead, Answer: wire.Whoami{}, serve: (*call).whoami},
		Route{Method: "GET", Path: pathTemplates, Summary: "List templates", Access: accessRead, Answer: wire.TemplateList{}, serve: (*call).listTemplates},
		Route{Method: "GET", Path: pathAccounts, Summary: "List accounts", Access: accessRead, Answer: wire.AccountList{}, serve: (*call).listAccounts},
		Route{Method: "GET", Path: "live", Summary: "Accounts in force on this node; never asks the store", Access: accessRead, Answer: wire.LiveList{}, serve: (*call).listLive},
		Route{Method: "GET", Path: "identities", Summary: "Read the document of identities", Access: accessOwner, Answer: wire.IdentitiesDocument{}, serve: (*call).getIdentities},
		Route{Method: "PUT", Path: "identities", Summary: "Replace the document of identities", Access: accessOwner, Conditional: true, Request: wire.ChangeRequest{}, Answer: wire.IdentitiesDocument{}, serve: (*call).putIdentities},
	)
	routes = append(routes, Route{
		Method: "POST", Path: pathTemplate + "/adopt-store", Summary: "Give up states newer than the store's, after it went back and no node could mend it",
		Access: accessOwner, Request: wire.AdoptRequest{}, Answer: wire.AdoptAnswer{}, serve: (*call).adoptStore,
	})
	routes = append(routes, objectRoutes(pathTemplate, "template")...)
	routes = append(routes, objectRoutes(pathAccount, "account")...)
	routes = append(routes, accountRoutes()...)
}

// objectRoutes are the operations that templates and accounts share.
func objectRoutes(path, kind string) []Route {
	return []Route{
		{Method: "GET", Path: path, Summary: "Get the document of the " + kind + " as written, the one at a sequence of its history with at", Access: accessRead, Query: []string{"at"}, Answer: wire.Document{}, serve: (*call).getDocument},
		{Method: "PUT", Path: path, Summary: "Create or change the " + kind, Access: accessChange, Conditional: true, Request: wire.ChangeRequest{}, Answer: wire.ChangeAnswer{}, serve: (*call).putDocument},
		{Method: "DELETE", Path: path, Summary: "Delete the " + kind, Access: accessChange, Conditional: true, Query: []string{"id", "note"}, Answer: wire.ChangeAnswer{}, serve: (*call).deleteDocument},
		{Method: "POST", Path: path + "/dry-run", Summary: "Check a change and forecast what it does, without making it", Access: accessRead, Conditional: true, Request: wire.ChangeRequest{}, Answer: wire.Preview{}, serve: (*call).dryRun},
		{Method: "POST", Path: path + "/roll-back", Summary: "Put an earlier document in force again as a new change", Access: accessChange, Conditional: true, Request: wire.RollBackRequest{}, Answer: wire.ChangeAnswer{}, serve: (*call).rollBack},
		{Method: "GET", Path: path + "/history", Summary: "Changes of the " + kind + ", newest first", Access: accessRead, Query: []string{"before", "limit"}, Answer: wire.History{}, serve: (*call).history},
		{Method: "GET", Path: path + "/changes/{id}", Summary: "Whether a change took effect", Access: accessRead, Answer: wire.Outcome{}, serve: (*call).outcome},
	}
}

func accountRoutes() []Route {
	return []Route{
		{Method: "GET", Path: pathAccount + "/values", Summary: "Every value in force and where it came from", Access: accessRead, Answer: wire.Values{}, serve: (*call).values},
		{Method: "GET", Path: pathAccount + "/live", Summary: "The account in force on this node; never asks the store", Access: accessRead, Answer: wire.LiveAccount{}, serve: (*call).live},
		{Method: "GET", Path: pathAccount + "/status", Summary: "On which nodes the account's newest state is in force", Access: accessRead, Query: []string{"sequence", "epoch"}, Answer: wire.Spreading{}, serve: (*call).status},
		{Method: "GET", Path: pathAccount + "/explain", Summary: "Why steering decides as it does", Access: accessRead, Answer: explain.Report{}, serve: (*call).explain},
		{Method: "GET", Path: pathAccount + "/drains", Summary: "Planned drains", Access: accessRead, Answer: wire.DrainList{}, serve: (*call).listDrains},
		{Method: "PUT", Path: pathAccount + "/drains/{drain}", Summary: "Plan a drain or change it", Access: accessChange, Conditional: true, Request: wire.DrainRequest{}, Answer: wire.ChangeAnswer{}, serve: (*call).putDrain},
		{Method: "DELETE", Path: pathAccount + "/drains/{drain}", Summary: "Cancel a drain", Access: accessChange, Conditional: true, Query: []string{"id", "note"}, Answer: wire.ChangeAnswer{}, serve: (*call).deleteDrain},
	}
}

// Parameters returns the names in braces of the path.
func (r *Route) Parameters() []string {
	var names []string
	for part := range strings.SplitSeq(r.Path, "/") {
		if strings.HasPrefix(part, "{") {
			names = append(names, strings.Trim(part, "{}"))
		}
	}
	return names
}
