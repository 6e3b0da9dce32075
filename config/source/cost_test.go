package source_test

import (
	"context"
	"fmt"
	"regexp"
	"runtime"
	"strings"
	"testing"

	"github.com/goccy/go-json"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/examples"
	"github.com/yuccaroute/yuccaroute/config/source"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

var sizes = []int{10, 100, 1000, 5000}

// What one node may use for control: bytes received in a second, and a part of
// a core.
const (
	nodeBytesPerSecond = 3000
	nodeCoreShare      = 0.026
)

func accountDocument(i int) (name string, text []byte) {
	name = fmt.Sprintf("account-%05d", i)
	return name, []byte(strings.Replace(string(examples.Text("daehan")), "name = daehan", "name = "+name, 1))
}

// emittedByTemplateChange is what the source emits for one change of a
// template with so many accounts.
func emittedByTemplateChange(b *testing.B, form source.Form, accounts int) [][]byte {
	b.Helper()
	kv := memkv.New(memkv.Options{})
	head := changelog.Head{Version: changelog.Version{Epoch: 1, Sequence: 1}, Audited: 1, Accounts: map[string]changelog.Object{}}
	object := func(text []byte) changelog.Object {
		hash := changelog.Hash(text)
		if _, err := kv.Swap(b.Context(), "config/object/"+hash, text, 0, 0); err != nil {
			b.Fatal(err)
		}
		return changelog.Object{Hash: hash, Sequence: 1}
	}
	head.Template = object(examples.Text("dealer"))
	for i := range accounts {
		name, text := accountDocument(i)
		head.Accounts[name] = object(text)
	}
	value, err := json.Marshal(&head)
	if err != nil {
		b.Fatal(err)
	}
	if _, err = kv.Swap(b.Context(), changelog.HeadPrefix+"dealer", value, 0, 0); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	var bodies [][]byte
	log := changelog.New(kv, changelog.Options{})
	_ = source.NewIn(form, kv, log, quiet()).Run(ctx, func(key string, _, _ uint64, body []byte) {
		bodies = append(bodies, append([]byte(key), body...))
		if strings.HasPrefix(key, source.HeadKeyPrefix) {
			cancel()
		}
	})
	return bodies
}

// BenchmarkTemplateChangeAsAccounts is one node that takes in one change of a
// template as the source emits it: every account in force.
func BenchmarkTemplateChangeAsAccounts(b *testing.B) {
	for _, accounts := range sizes {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			bodies := emittedByTemplateChange(b, source.Accounts, accounts)
			b.ResetTimer()
			for b.Loop() {
				for i, body := range bodies[:accounts] {
					name, _ := accountDocument(i)
					if _, err := config.Decode(body[len(source.Key(name)):]); err != nil {
						b.Fatal(err)
					}
				}
			}
			report(b, sumOf(bodies))
		})
	}
}

// BenchmarkTemplateChangeAsDocument is the same change as emitted in documents, the template and the
// cut, which the node merges with the compressed documents of the accounts.
func BenchmarkTemplateChangeAsDocument(b *testing.B) {
	for _, accounts := range sizes {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			items := map[string][]byte{}
			for _, body := range emittedByTemplateChange(b, source.Documents, accounts) {
				key, rest := keyOf(body)
				items[key] = rest
			}
			held := make([][]byte, accounts)
			for i := range held {
				name, _ := accountDocument(i)
				held[i] = items[source.DocumentKey("dealer", name)]
			}
			template, cut := items[source.TemplateKey("dealer")], items[source.CutKey("dealer")]
			b.ResetTimer()
			for b.Loop() {
				parsed, err := config.DecodeTemplate("template", template)
				if err != nil {
					b.Fatal(err)
				}
				for _, body := range held {
					mustResolve(b, parsed, body)
				}
			}
			report(b, len(template)+len(cut))
			b.ReportMetric(float64(sumOf(held)), "held-B")
		})
	}
}

// keyOf divides a body that emittedByTemplateChange returned. The key ends with
// the name of the template or an account.
func keyOf(body []byte) (key string, rest []byte) {
	end := regexp.MustCompile(`^[a-z]+/dealer(/account-\d{5})?`).FindIndex(body)
	if end == nil {
		return "", nil
	}
	return string(body[:end[1]]), body[end[1]:]
}

// BenchmarkParsedInMemory is what a node would keep to merge without parsing
// again.
func BenchmarkParsedInMemory(b *testing.B) {
	const accounts = 1000
	for b.Loop() {
		before := heap()
		parsed := make([]*config.AccountDocument, accounts)
		for i := range parsed {
			name, text := accountDocument(i)
			document, err := config.ParseAccount(name, text)
			if err != nil {
				b.Fatal(err)
			}
			parsed[i] = document
		}
		b.ReportMetric((heap()-before)/accounts, "heap-B/account")
		runtime.KeepAlive(parsed)
	}
}

func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// report tells the bytes to one node and the time until the last account is in
// force there, by its bytes and by its CPU.
func report(b *testing.B, size int) {
	cpu := b.Elapsed().Seconds() / float64(b.N)
	b.ReportMetric(float64(size), "B/node")
	b.ReportMetric(float64(size)/nodeBytesPerSecond, "s-by-bytes")
	b.ReportMetric(cpu/nodeCoreShare, "s-by-cpu")
}

func mustResolve(b *testing.B, template *config.Template, body []byte) *model.Account {
	document, err := config.DecodeAccountDocument("account", body)
	if err != nil {
		b.Fatal(err)
	}
	resolved, err := config.Resolve(template, document)
	if err != nil {
		b.Fatal(err)
	}
	return resolved.Account
}

func sumOf(bodies [][]byte) int {
	total := 0
	for _, body := range bodies {
		total += len(body)
	}
	return total
}
