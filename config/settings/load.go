package settings

import (
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config/inifile"
)

// Load reads a node's settings from a file. Faults of the content are
// inifile.Problems.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return Parse(path, text)
}

// Parse reads a node's settings from a text; file names it in problems.
func Parse(file string, text []byte) (*Settings, error) {
	doc, problems := inifile.Parse(file, text)
	if doc == nil {
		return nil, problems
	}
	view := &inifile.View{Schema: schema, Layers: []inifile.Layer{{Origin: "settings", Doc: doc}}}
	problems = append(problems, view.Check()...)
	if len(problems) > 0 {
		return nil, problems
	}
	s := build(view)
	if problems = check(view, s); len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

// Defaults returns settings with every default in place, for programs that
// make their settings themselves.
func Defaults(node Node, listen Listen, platformStore, vmList netip.AddrPort) *Settings {
	empty := &inifile.View{Schema: schema, Layers: []inifile.Layer{{Doc: &inifile.Document{}}}}
	s := build(empty)
	s.Node = node
	s.Listen = listen
	s.Platform.Store = platformStore
	s.Platform.VMList = vmList
	return s
}

func build(v *inifile.View) *Settings {
	return &Settings{
		Node: Node{
			VM:            v.Text(sectionNode, "", keyVM),
			Region:        model.RegionName(v.Text(sectionNode, "", keyRegion)),
			FailureDomain: model.PlaceName(v.Text(sectionNode, "", keyFailureDomain)),
		},
		Listen: Listen{
			Callers: address(v, sectionListen, keyCallers),
			Admin:   address(v, sectionListen, keyAdmin),
			Peers:   address(v, sectionListen, keyPeers),
		},
		Platform: platform(v),
		Limits: Limits{
			BufferedBytes:     v.Whole(sectionLimits, "", keyBuffered),
			KeptAnswerBytes:   v.Whole(sectionLimits, "", keyKeptAnswers),
			StreamOverBytes:   v.Whole(sectionLimits, "", keyStreamOver),
			StreamAhead:       v.Duration(sectionLimits, "", keyStreamAhead, time.Millisecond),
			QueuedRequests:    int(v.Whole(sectionLimits, "", keyQueued)),
			CallerConnections: int(v.Whole(sectionLimits, "", keyCallerConnections)),
			LeaveTime:         v.Duration(sectionLimits, "", keyLeaveTime, time.Millisecond),
			RelayFromNodes:    int(v.Whole(sectionLimits, "", keyRelayFrom)),
			CollectAtPercent:  int(v.Whole(sectionLimits, "", keyCollectAt)),
			MemoryBytes:       v.Whole(sectionLimits, "", keyMemory),
		},
		Log: Log{
			Level:  v.Text(sectionLog, "", keyLevel),
			Format: v.Text(sectionLog, "", keyFormat),
		},
		TLS: TLS{
			CertificateFile: v.Text(sectionTLS, "", keyCertificate),
			KeyFile:         v.Text(sectionTLS, "", keyKey),
			AuthorityFile:   v.Text(sectionTLS, "", keyAuthority),
			PlainAllowed:    v.Yes(sectionTLS, "", keyPlain),
		},
		Admin: Admin{
			IdentitiesFile: v.Text(sectionAdmin, "", keyIdentities),
			Open:           v.Yes(sectionAdmin, "", keyOpen),
		},
	}
}

func platform(v *inifile.View) Platform {
	return Platform{
		Store:           address(v, sectionPlatform, keyStore),
		VMList:          address(v, sectionPlatform, keyVMList),
		VMListPath:      v.Text(sectionPlatform, "", keyVMListPath),
		CallTimeout:     v.Duration(sectionPlatform, "", keyCallTimeout, time.Millisecond),
		WatchTimeout:    v.Duration(sectionPlatform, "", keyWatchTimeout, time.Millisecond),
		ReadsPerSecond:  v.Number(sectionPlatform, "", keyReads),
		WritesPerSecond: v.Number(sectionPlatform, "", keyWrites),
		VMListInterval:  v.Duration(sectionPlatform, "", keyVMListInterval, time.Millisecond),
		MergedAccounts:  v.Yes(sectionPlatform, "", keyMergedAccounts),
	}
}

func address(v *inifile.View, section, key string) netip.AddrPort {
	addr, _ := netip.ParseAddrPort(v.Text(section, "", key))
	return addr
}
