package admin

import (
	"github.com/yuccaroute/yuccaroute/api/result"

	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
)

// defaultHistory is how many changes a history holds when no limit is given.
const (
	defaultHistory = 50
	maxHistory     = 500
)

// change begins a change of the object in the path; the template of an account
// is filled in by the caller.
func (c *call) change(id, note string) (changelog.Change, error) {
	if id == "" {
		id = c.api.options.NewID()
	}
	c.changeID = id
	sequence, err := c.ifSequence()
	if err != nil {
		return changelog.Change{}, err
	}
	change := changelog.Change{
		ID: id, Who: c.who.Name, Note: note, IfSequence: sequence,
		Kind: changelog.KindTemplate, Name: c.template, Template: c.template,
	}
	if c.account != "" {
		change.Kind, change.Name = changelog.KindAccount, c.account
	}
	return change, nil
}

// withText fills in a document. That of an account tells its template.
func withText(change changelog.Change, text string) (changelog.Change, error) {
	change.Text = []byte(text)
	if change.Kind == changelog.KindTemplate {
		return change, nil
	}
	account, err := config.ParseAccount("account "+change.Name, change.Text)
	if err != nil {
		return change, err
	}
	change.Template = account.Template
	return change, nil
}

func (c *call) readChange() (changelog.Change, error) {
	var request wire.ChangeRequest
	if err := c.read(&request); err != nil {
		return changelog.Change{}, err
	}
	change, err := c.change(request.ID, request.Note)
	if err != nil {
		return change, err
	}
	return withText(change, request.Text)
}

func (c *call) putDocument() (any, error) {
	change, err := c.readChange()
	if err != nil {
		return nil, err
	}
	return c.apply(change)
}

func (c *call) deleteDocument() (any, error) {
	query := c.r.URL.Query()
	change, err := c.change(query.Get("id"), query.Get("note"))
	if err != nil {
		return nil, err
	}
	if change.Template, _, _, err = c.object(); err != nil {
		return nil, err
	}
	change.Delete = true
	return c.apply(change)
}

func (c *call) apply(change changelog.Change) (any, error) {
	result, err := c.api.options.Log.Apply(c.ctx, change)
	return c.applied(change, result, err)
}

func (c *call) applied(change changelog.Change, result changelog.Result, err error) (any, error) {
	logger := c.api.options.Logger
	if err != nil {
		logger.Infof("admin: change %s of %s %s by %s ended as %s", change.ID, change.Kind, change.Name, c.who.Name, codeOf(err))
		return nil, err
	}
	logger.Infof("admin: change %s of %s %s by %s is in force at sequence %d", change.ID, change.Kind, change.Name, c.who.Name, result.Record.Sequence)
	c.etag(result.Record.Sequence)
	return &wire.ChangeAnswer{Change: changeOf(change.Template, &result.Record), Repeated: result.Repeated}, nil
}

func changeOf(template string, r *changelog.Record) wire.Change {
	return wire.Change{
		ID: r.ID, Who: r.Who, At: r.At, Template: template, Kind: string(r.Kind), Name: r.Name,
		Sequence: r.Sequence, Deleted: r.Deleted(), Note: r.Note,
	}
}

func (c *call) rollBack() (any, error) {
	var request wire.RollBackRequest
	if err := c.read(&request); err != nil {
		return nil, err
	}
	change, err := c.change(request.ID, request.Note)
	if err != nil {
		return nil, err
	}
	if change.Template, _, _, err = c.object(); err != nil {
		return nil, err
	}
	result, err := c.api.options.Log.RollBack(c.ctx, change, request.ToSequence)
	return c.applied(change, result, err)
}

func (c *call) history() (any, error) {
	template, kind, name, err := c.object()
	if err != nil {
		return nil, err
	}
	filter := changelog.Filter{Kind: kind, Name: name}
	if filter.Before, err = c.sequenceParam("before"); err != nil {
		return nil, err
	}
	limit, err := c.sequenceParam("limit")
	if err != nil {
		return nil, err
	}
	if limit == 0 {
		limit = defaultHistory
	}
	filter.Limit = int(min(limit, maxHistory))
	records, err := c.api.options.Log.History(c.ctx, template, filter)
	if err != nil {
		return nil, err
	}
	history := &wire.History{Changes: []wire.Change{}}
	for i := range records {
		history.Changes = append(history.Changes, changeOf(template, &records[i]))
	}
	return history, nil
}

// outcome answers for changes of the object in the path only, so that nobody
// learns of changes outside their scope.
func (c *call) outcome() (any, error) {
	id := c.r.PathValue("id")
	template, kind, name, err := c.object()
	if isNotFound(err) {
		return &wire.Outcome{ID: id, State: wire.OutcomeNotSeen}, nil
	}
	if err != nil {
		return nil, err
	}
	record, err := c.api.options.Log.Outcome(c.ctx, template, id)
	if isNotFound(err) || err == nil && (record.Kind != kind || record.Name != name) {
		return &wire.Outcome{ID: id, State: wire.OutcomeNotSeen}, nil
	}
	if err != nil {
		return nil, err
	}
	change := changeOf(template, &record)
	return &wire.Outcome{ID: id, State: wire.OutcomeInForce, Change: &change}, nil
}

func isNotFound(err error) bool {
	return err != nil && codeOf(err) == result.NotFound
}

// adoptStore gives up accepted changes, so it is an owner's alone and logged
// as a warning.
func (c *call) adoptStore() (any, error) {
	var request wire.AdoptRequest
	if err := c.read(&request); err != nil {
		return nil, err
	}
	if request.ID == "" {
		request.ID = c.api.options.NewID()
	}
	c.changeID = request.ID
	version, err := c.api.options.Log.Adopt(c.ctx, changelog.Change{
		ID: request.ID, Who: c.who.Name, Note: request.Note, Template: c.template,
	})
	if err != nil {
		return nil, err
	}
	c.api.options.Logger.Warnf("admin: template %s was adopted from the store at %s by %s", c.template, version, c.who.Name)
	return &wire.AdoptAnswer{ID: request.ID, Epoch: version.Epoch, Sequence: version.Sequence}, nil
}
