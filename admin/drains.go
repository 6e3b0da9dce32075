package admin

import (
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
)

// current returns the account in force and its sequence at one cut.
func (c *call) current() (*config.Resolved, string, uint64, error) {
	template, err := c.templateOf(c.account)
	if err != nil {
		return nil, "", 0, err
	}
	resolved, sequence, err := c.api.options.Log.ResolvedAt(c.ctx, template, c.account)
	return resolved, template, sequence, err
}

func (c *call) listDrains() (any, error) {
	resolved, _, sequence, err := c.current()
	if err != nil {
		return nil, err
	}
	list := &wire.DrainList{Account: c.account, Sequence: sequence, Drains: []wire.Drain{}}
	for _, d := range resolved.PlannedDrains() {
		list.Drains = append(list.Drains, wire.Drain{
			Name: d.Name, Place: d.Place, Start: d.Start, End: d.End, Until: d.Until, Origin: string(d.Origin),
		})
	}
	c.etag(sequence)
	return list, nil
}

func (c *call) putDrain() (any, error) {
	var request wire.DrainRequest
	if err := c.read(&request); err != nil {
		return nil, err
	}
	return c.editDrains(request.ID, request.Note, func(r *config.Resolved, name string) ([]byte, error) {
		return r.WithDrain(config.PlannedDrain{
			Name: name, Place: request.Place, Start: request.Start, End: request.End, Until: request.Until,
		}), nil
	})
}

func (c *call) deleteDrain() (any, error) {
	query := c.r.URL.Query()
	return c.editDrains(query.Get("id"), query.Get("note"), func(r *config.Resolved, name string) ([]byte, error) {
		for _, d := range r.PlannedDrains() {
			if d.Name == name {
				return r.WithoutDrain(name), nil
			}
		}
		return nil, notFound("account " + c.account + " has no drain " + name)
	})
}

// editDrains edits the document in force. The edit is made to the text at the
// sequence of If-Match; with If-Match: * it is made to the newest text, and
// bound to its sequence, so that a change made meanwhile is not undone.
func (c *call) editDrains(id, note string, edit func(r *config.Resolved, name string) ([]byte, error)) (any, error) {
	change, err := c.change(id, note)
	if err != nil {
		return nil, err
	}
	resolved, template, sequence, err := c.current()
	if err != nil {
		return nil, err
	}
	change.Template = template
	if done, answer, err := c.repeated(change); done {
		return answer, err
	}
	if change.Text, err = edit(resolved, c.r.PathValue("drain")); err != nil {
		return nil, err
	}
	if change.IfSequence == changelog.AnySequence {
		change.IfSequence = sequence
	}
	return c.apply(change)
}

// repeated answers a request whose change took effect before. The edit cannot
// be made again, as it would be made to the text that already has it.
func (c *call) repeated(change changelog.Change) (bool, any, error) {
	record, err := c.api.options.Log.Outcome(c.ctx, change.Template, change.ID)
	if isNotFound(err) {
		return false, nil, nil
	}
	if err != nil {
		return true, nil, err
	}
	if record.Kind != change.Kind || record.Name != change.Name {
		return true, nil, &changelog.ReusedError{Earlier: record}
	}
	c.etag(record.Sequence)
	return true, &wire.ChangeAnswer{Change: changeOf(change.Template, &record), Repeated: true}, nil
}
