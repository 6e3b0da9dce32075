package scenario

import (
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/relay"
)

// relayFrom is the default of the setting relay_from_nodes.
const relayFrom = 64

// simulatedRelay is the relay of one failure domain.
type simulatedRelay struct {
	held []*sentReport
	// due is when the batch leaves, if it holds any reports.
	due time.Time
	// counts is of the relay's own messages, to nodes and to the decider.
	counts messageCounts
}

// messageCounts is what a part of the system takes and answers.
type messageCounts struct{ calls, requestBytes, answerBytes uint64 }

func (c *messageCounts) take(calls uint64, request, answer proto.Message) {
	c.calls += calls
	c.requestBytes += uint64(proto.Size(request))
	c.answerBytes += uint64(proto.Size(answer))
}

// addRelays gives a relay to each failure domain that uses one.
func (d *deciderWorld) addRelays() {
	if len(d.nodes) < relayFrom {
		return
	}
	sizes := make(map[string]int)
	for _, n := range d.nodes {
		sizes[n.ref.Place]++
	}
	d.relays = make(map[string]*simulatedRelay)
	for place, size := range sizes {
		if size >= relay.MinDomainNodes {
			d.relays[place] = &simulatedRelay{}
		}
	}
}

// pass hands a report to the relay of its node's failure domain.
func (d *deciderWorld) pass(sent *sentReport, urgent bool) {
	r := d.relays[sent.node.ref.Place]
	sent.node.held = true
	if len(r.held) == 0 {
		r.due = d.now.Add(relay.HoldTime(len(d.nodes)))
	}
	if urgent {
		r.due = d.now
	}
	r.held = append(r.held, sent)
}

// sendBatches sends the batches that are due, in a fixed order.
func (d *deciderWorld) sendBatches() {
	var places []string
	for place, r := range d.relays {
		if len(r.held) > 0 && !r.due.After(d.now) {
			places = append(places, place)
		}
	}
	slices.SortFunc(places, strings.Compare)
	for _, place := range places {
		d.sendBatch(d.relays[place])
	}
}

func (d *deciderWorld) sendBatch(r *simulatedRelay) {
	held := r.held
	r.held = nil
	var reports []*peerpb.RenewRequest
	for _, sent := range held {
		reports = append(reports, sent.request)
	}
	batch := relay.EncodeBatch(string(accountName), reports)
	size := proto.CloneOf(batch)
	started := time.Now()
	response := relay.AnswerBatch(context.Background(), batch, func(_ context.Context, request *peerpb.RenewRequest) *peerpb.RenewResponse {
		return d.core.Renew(request, d.now)
	})
	d.counts.renewTime += time.Since(started)
	d.counts.take(1, size, response)
	r.counts.take(1, size, response)
	for i, answer := range relay.DecodeAnswers(response) {
		r.counts.take(1, &peerpb.PassRequest{Report: held[i].request, DeciderEpoch: answer.Epoch}, answer)
		held[i].node.held = false
		d.answered(held[i], answer)
	}
}

// busiestRelay returns the counts of the relay with the most bytes, and resets all.
func (d *deciderWorld) busiestRelay() messageCounts {
	var most messageCounts
	for _, r := range d.relays {
		if r.counts.requestBytes+r.counts.answerBytes > most.requestBytes+most.answerBytes {
			most = r.counts
		}
		r.counts = messageCounts{}
	}
	return most
}
