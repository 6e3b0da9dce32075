package admin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/goccy/go-json"

	"github.com/yuccaroute/yuccaroute/admin/identity"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/inifile"
)

// maxBodyBytes bounds a request: a document in JSON, whose line ends take two
// bytes.
const maxBodyBytes = 2 * inifile.MaxDocumentBytes

// openIdentity is the caller of an API without identities.
var openIdentity = &identity.Identity{
	Name:      "anonymous",
	Role:      identity.RoleOwner,
	Accounts:  []string{identity.All},
	Templates: []string{identity.All},
}

// call is one request.
type call struct {
	api *API
	ctx context.Context
	r   *http.Request
	w   http.ResponseWriter
	who *identity.Identity
	// account and template are from the path, "" where it has none.
	account  string
	template string
	// changeID is set once the request is for a change.
	changeID string
}

func (c *call) run(route *Route) (any, error) {
	if err := c.authenticate(); err != nil {
		return nil, err
	}
	if err := c.authorize(route); err != nil {
		c.api.options.Logger.Warnf("admin: refused %s %s %s", c.who.Name, c.r.Method, c.r.URL.Path)
		return nil, err
	}
	return route.serve(c)
}

const bearer = "Bearer "

func (c *call) authenticate() error {
	if c.api.options.Identities == nil {
		c.who = openIdentity
		return nil
	}
	token, found := strings.CutPrefix(c.r.Header.Get("Authorization"), bearer)
	if !found {
		return &failure{code: result.Unauthenticated, message: "the request has no token"}
	}
	who, err := c.api.options.Identities.Match(c.ctx, token)
	if err != nil {
		return &failure{code: result.StoreUnavailable, message: err.Error()}
	}
	if who == nil {
		return &failure{code: result.Unauthenticated, message: "the token is not known"}
	}
	c.who = who
	return nil
}

// authorize checks the role and scope that the route declares, in one place,
// so that no handler can leave it out.
func (c *call) authorize(route *Route) error {
	switch {
	case route.Access == accessOwner && c.who.Role != identity.RoleOwner:
		return forbidden("only an owner may do this")
	case route.Access == accessChange && !c.who.MayChange():
		return forbidden("a reader may not change anything")
	case c.account != "" && !c.who.MayTouchAccount(c.account):
		return forbidden("account " + c.account + " is not in your scope")
	case c.template != "" && !c.who.MayTouchTemplate(c.template):
		return forbidden("template " + c.template + " is not in your scope")
	}
	return nil
}

func forbidden(message string) error { return &failure{code: result.Forbidden, message: message} }

func notFound(message string) error { return &failure{code: result.NotFound, message: message} }

func badRequest(message string) error { return &failure{code: result.BadRequest, message: message} }

// read decodes the request's body; unknown fields are refused, as a misspelled
// one would be left out silently.
func (c *call) read(into any) error {
	if c.r.Body == nil {
		return badRequest("the request has no body")
	}
	body, err := io.ReadAll(io.LimitReader(c.r.Body, maxBodyBytes+1))
	if err != nil {
		return badRequest("the body ended early")
	}
	if len(body) > maxBodyBytes {
		return &failure{code: result.ChangeTooLarge, message: "the body has more than " + strconv.Itoa(maxBodyBytes) + " bytes"}
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return badRequest("the body is not the JSON expected here: " + err.Error())
	}
	return nil
}

// ifSequence reads the precondition that every change must carry.
func (c *call) ifSequence() (uint64, error) {
	match := c.r.Header.Get("If-Match")
	if c.r.Header.Get("If-None-Match") == "*" && match == "" {
		return 0, nil
	}
	if match == "*" {
		return changelog.AnySequence, nil
	}
	sequence, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil || sequence == 0 || sequence == changelog.AnySequence {
		return 0, badRequest(`a change needs If-Match with the ETag that was read, If-None-Match: * to create, or If-Match: * to overwrite anything`)
	}
	return sequence, nil
}

func (c *call) etag(sequence uint64) {
	c.w.Header().Set("ETag", `"`+strconv.FormatUint(sequence, 10)+`"`)
}

func (c *call) answer(body any) {
	c.write(http.StatusOK, result.OK, body)
}

func (c *call) fail(err error) {
	answer := errorOf(err)
	answer.ChangeID = c.changeID
	c.write(result.InfoOf(answer.Code).HTTP, answer.Code, answer)
}

func (c *call) write(status int, code result.Code, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		c.api.options.Logger.Errorf("admin: cannot encode an answer: %v", err)
		c.w.WriteHeader(http.StatusInternalServerError)
		return
	}
	header := c.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Cache-Control", "no-store")
	header.Set(result.HeaderResult, strconv.Itoa(int(code)))
	header.Set(result.HeaderOutcome, result.InfoOf(code).Outcome.String())
	c.w.WriteHeader(status)
	if _, err := c.w.Write(encoded); err != nil {
		c.api.options.Logger.Debugf("admin: the caller went away: %v", err)
	}
}

// sequenceParam reads an optional number from the query.
func (c *call) sequenceParam(name string) (uint64, error) {
	text := c.r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest(name + " is not a whole number")
	}
	return n, nil
}
