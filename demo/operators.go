package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/node"
)

const (
	// operators is how many change each tenant's account at the same time.
	operators = 3
	// changePause is the time between two changes of one operator.
	changePause = 500 * time.Millisecond
	// mostChanges keeps the numbers of the operators' changes apart.
	mostChanges = 1000
)

// operate lets several operators change a tenant's account at the same time
// through different nodes until the load ends.
func (r *run) operate(ctx context.Context, t *Tenant) {
	for i := range operators {
		r.events.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-r.loadEnded:
					return
				case <-ctx.Done():
					return
				case <-time.After(changePause):
				}
				n := t.Nodes[(i+number)%len(t.Nodes)]
				if err := r.changeAccount(ctx, t, n, i*mostChanges+number); err != nil {
					r.progress.line("operator %d: %v", i+1, err)
				}
			}
		})
	}
}

// changeAccount makes one change as an operator does: read, edit, write if
// nobody else came first.
func (r *run) changeAccount(ctx context.Context, t *Tenant, n *node.Node, number int) error {
	api := client.New("http://"+n.AdminAddress(), "", nil)
	object := client.Account(string(t.Account.Name))
	document, err := api.Get(ctx, object)
	if err != nil {
		return errors.Wrap(err, "read the account")
	}
	request := wire.ChangeRequest{Text: edited(document.Text, number), Note: "demo"}
	answer, err := api.Put(ctx, object, client.At(document.Sequence), request)
	var refusal *wire.Error
	if errors.As(err, &refusal) && refusal.Code == result.RevisionConflict {
		r.configuration.refused()
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "change the account")
	}
	r.configuration.accepted(t.Account.Name, answer.Change.Sequence)
	return nil
}

// editMark starts the line that an operator of the demonstration changes.
const editMark = "; changed by operator, number "

// edited returns a document with another comment at its end: a change of its
// text and so of its revision, but not of the limits that the checker knows.
func edited(text string, number int) string {
	if at := strings.Index(text, editMark); at >= 0 {
		text = text[:at]
	}
	return fmt.Sprintf("%s%s%d\n", text, editMark, number)
}
