package faultkv

// Kind is a kind of call.
type Kind uint8

// The kinds of calls.
const (
	KindGet Kind = iota
	KindList
	KindSwap
	KindDelete
	KindWatch
	KindGrant
	KindKeepAlive
	KindRevoke
	kindCount
)

// Kinds lists all kinds.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

var kindNames = [kindCount]string{
	"get", "list", "swap", "delete", "watch", "grant", "keepalive", "revoke",
}

// String implements fmt.Stringer.
func (k Kind) String() string {
	if k >= kindCount {
		return "unknown"
	}
	return kindNames[k]
}

// Writes reports whether a call of this kind changes stored state, so that its
// outcome is unknown when the response is lost.
func (k Kind) Writes() bool {
	switch k {
	case KindGet, KindList, KindWatch:
		return false
	default:
		return true
	}
}
