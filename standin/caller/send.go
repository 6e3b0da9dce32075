package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/bench/check"
	"github.com/yuccaroute/yuccaroute/client"
)

// draft is a request as drawn, before it has a number.
type draft struct {
	load   *Load
	kind   *Kind
	source *source
	due    time.Time
	body   int
	keyed  bool
	number int64
}

func (c *Callers) draw(load *Load, random *rand.Rand, due time.Time) draft {
	kind := drawKind(load.Kinds, random)
	return draft{
		load: load, kind: kind, due: due,
		source: &c.sources[random.IntN(len(c.sources))],
		body:   kind.MinBody + random.IntN(kind.MaxBody-kind.MinBody+1),
		keyed:  random.Float64() < kind.KeyShare,
	}
}

func drawKind(kinds []Kind, random *rand.Rand) *Kind {
	sum := 0.0
	for i := range kinds {
		sum += kinds[i].Weight
	}
	left := random.Float64() * sum
	for i := range kinds {
		left -= kinds[i].Weight
		if left < 0 {
			return &kinds[i]
		}
	}
	return &kinds[len(kinds)-1]
}

func (c *Callers) send(ctx context.Context, d draft) {
	token := fmt.Sprintf("%s-%s-%s-%d", c.options.Account, c.options.Name, d.load.Service, d.number)
	r := client.Request{
		Service: d.load.Service, Method: d.kind.Method, Path: d.kind.Path, Body: body(token, d.body),
		Header: http.Header{result.HeaderToken: {token}}, Deadline: d.load.Deadline,
		Idempotent: d.kind.Class == model.Idempotent,
	}
	if d.keyed {
		r.Key = token
	}
	told := c.exchange(ctx, d, r, token)
	if d.keyed && c.options.RepeatUnknown && told.Outcome == result.Unknown {
		d.due = time.Now()
		c.exchange(ctx, d, r, token)
	}
}

func (c *Callers) exchange(ctx context.Context, d draft, r client.Request, token string) check.Told {
	sent := time.Now()
	answer, _ := d.source.client.Do(ctx, r)
	told := check.Told{
		Token: token, Account: c.options.Account, Service: d.load.Service, Caller: d.source.region,
		Class: d.kind.Class, Outcome: answer.Outcome, Code: answer.Code, Status: answer.Status,
		Intended: d.due, Sent: sent, Done: time.Now(),
		Entry: answer.Entry.ID, Place: answer.Place(), Target: answer.Target(), Attempts: answer.Attempts,
	}
	if answer.Outcome == result.Ran {
		told.AnswerToken, told.Whole = readAnswer(&answer)
	}
	c.options.Told(told)
	return told
}

// body is a request body that starts with the token.
func body(token string, size int) []byte {
	if size == 0 {
		return nil
	}
	b := make([]byte, max(size, len(token)))
	for i := copy(b, token); i < len(b); i++ {
		b[i] = byte('a' + i%26)
	}
	return b
}
