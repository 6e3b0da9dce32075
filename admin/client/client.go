package client

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/goccy/go-json"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// pathPrefix is the version of the API that this client speaks.
const pathPrefix = "/admin/v1/"

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 64 << 20

// Client calls one node. It is safe for use by several goroutines.
//
// Errors are *wire.Error when the node answered, and also when the answer to
// a change was lost or cannot be read: its code is then change-unknown and its
// ChangeID is the one to ask by or to repeat the change under. Any other error
// means that the request was not sent, or that nothing was to be changed.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client of the node at base, for example "http://127.0.0.1:7001".
// token is "" for a node without identities; httpClient nil takes the default.
func New(base, token string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	return &Client{base: strings.TrimRight(base, "/"), token: token, http: httpClient}
}

// request is one call before it is sent.
type request struct {
	method string
	path   []string
	query  url.Values
	match  *Match
	body   any
	// changeID is set for changes.
	changeID string
}

func (c *Client) do(ctx context.Context, r request, into any) error {
	sent, err := c.build(ctx, r)
	if err != nil {
		return err
	}
	answer, err := c.http.Do(sent)
	if err != nil {
		return lost(r, err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return lost(r, err)
	}
	if answer.StatusCode != http.StatusOK {
		return failed(r, answer.StatusCode, body)
	}
	return decoded(r, body, into)
}

// decoded reads a success. A change was sent and may be in force although the
// answer cannot be read or does not name it, as when a server of another kind
// stands in between: "{}" with status 200, or the document after a redirect
// turned the change into a read. Success would hide a change that never reached
// the node; a plain error would read as "not sent", and the change would be made
// again under a new identifier.
func decoded(r request, body []byte, into any) error {
	err := json.Unmarshal(body, into)
	if err == nil && r.changeID != "" && !confirms(into, r.changeID) {
		err = errors.New("it does not name the change")
	}
	if err == nil {
		return nil
	}
	if r.changeID != "" {
		return unknown(r, "the answer is not the JSON expected: "+err.Error())
	}
	return errors.Wrap(err, "admin: answer is not the JSON expected")
}

// confirms reports whether a decoded answer says that the change is in force.
func confirms(answer any, changeID string) bool {
	switch a := answer.(type) {
	case *wire.ChangeAnswer:
		return a.Change.ID == changeID && a.Change.Sequence != 0
	case *wire.AdoptAnswer:
		return a.ID == changeID && a.Sequence != 0
	case *wire.IdentitiesDocument:
		return a.Revision != 0
	default:
		return false
	}
}

func (c *Client) build(ctx context.Context, r request) (*http.Request, error) {
	var body io.Reader
	if r.body != nil {
		encoded, err := json.Marshal(r.body)
		if err != nil {
			return nil, errors.Wrap(err, "admin: encode request")
		}
		body = bytes.NewReader(encoded)
	}
	sent, err := http.NewRequestWithContext(ctx, r.method, c.url(r), body)
	if err != nil {
		return nil, errors.Wrap(err, "admin: make request")
	}
	if body != nil {
		sent.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		sent.Header.Set("Authorization", "Bearer "+c.token)
	}
	if r.match != nil && r.match.header != "" {
		sent.Header.Set(r.match.header, r.match.value)
	}
	return sent, nil
}

func (c *Client) url(r request) string {
	parts := make([]string, len(r.path))
	for i, part := range r.path {
		parts[i] = url.PathEscape(part)
	}
	target := c.base + pathPrefix + strings.Join(parts, "/")
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	return target
}

// lost tells what is known when no answer came. A connection that was never
// opened carried no request.
func lost(r request, err error) error {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	if r.changeID == "" || notSent {
		return errors.Wrap(err, "admin: no answer, and nothing was changed")
	}
	return unknown(r, err.Error())
}

func unknown(r request, message string) error {
	info := result.InfoOf(result.ChangeUnknown)
	return &wire.Error{
		Code: info.Code, Name: info.Name, Outcome: info.Outcome.String(),
		Message: message, ChangeID: r.changeID,
	}
}

// failed reads an answer that is not a success. One that is not the API's own,
// as from a server that failed, leaves a change unknown.
func failed(r request, status int, body []byte) error {
	answer := &wire.Error{}
	if err := json.Unmarshal(body, answer); err == nil && ownError(r, answer) {
		return answer
	}
	message := http.StatusText(status) + ": " + string(body)
	if r.changeID != "" {
		return unknown(r, message)
	}
	return errors.Errorf("admin: %d %s", status, message)
}

// ownError reports whether the node made an error: it has a code, an outcome
// and, if it names a change, this one. {"name": "..."} of a middle box must not
// read as "not run".
func ownError(r request, e *wire.Error) bool {
	if e.Code == result.OK || e.Name == "" {
		return false
	}
	if e.Outcome != result.NotRun.String() && e.Outcome != result.Unknown.String() {
		return false
	}
	return e.ChangeID == "" || e.ChangeID == r.changeID
}
