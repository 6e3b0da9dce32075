package gateway

import (
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/proxy/forward"
	"github.com/yuccaroute/yuccaroute/proxy/notrun"
)

// exchangeLog collects the log fields of the exchanges of a request, in their order; "" for an attempt without one.
type exchangeLog struct {
	exchanges, matches, discarded, evidence []string
	unusual                                 bool
}

func (l *exchangeLog) add(t forward.Trace, e notrun.Evidence) {
	l.exchanges = append(l.exchanges, t.Exchanged())
	l.matches = append(l.matches, t.Match.String())
	l.discarded = append(l.discarded, t.DiscardedText())
	l.evidence = append(l.evidence, e.String())
	l.unusual = l.unusual || t.Match != forward.OwnID || len(t.Discarded) > 0 || e.Certain()
}

// isPlain reports whether each exchange got an answer that names its request, and discarded nothing.
func (l *exchangeLog) isPlain() bool { return !l.unusual }

// addFields adds the fields to a log line, those of plain exchanges only by their numbers.
func (l *exchangeLog) addFields(line logrus.Fields) {
	if len(l.exchanges) == 0 {
		return
	}
	line["exchanges"] = l.exchanges
	if l.unusual || len(l.exchanges) > 1 {
		line["matched"], line["discarded"], line["not_run"] = l.matches, l.discarded, l.evidence
	}
}
