package identity

import (
	"encoding/hex"
	"regexp"
	"strings"

	"github.com/yuccaroute/yuccaroute/config/inifile"
)

const (
	kindIdentity = "identity"
	keyHash      = "token_sha256"
	keyRole      = "role"
	keyAccounts  = "accounts"
	keyTemplates = "templates"
)

// scopeKind is a list of names, or *.
type scopeKind struct{}

// Valid implements inifile.Kind.
func (scopeKind) Valid(text string) bool {
	for _, name := range inifile.SplitList(text) {
		if name != All && !inifile.NameKind.Valid(name) {
			return false
		}
	}
	return true
}

// Permitted implements inifile.Kind.
func (scopeKind) Permitted() string { return "names separated by commas, or * for all" }

var schema = inifile.Schema{{Kind: kindIdentity, Parts: 1, Keys: []inifile.KeySpec{
	{Name: keyHash, Required: true, Value: inifile.Pattern{
		Expression: regexp.MustCompile(`^[0-9a-f]{64}$`),
		Words:      "the SHA-256 sum of the token in 64 hexadecimal digits",
	}},
	{Name: keyRole, Value: inifile.Choice{string(RoleReader), string(RoleOperator), string(RoleOwner)}, Required: true},
	{Name: keyAccounts, Value: scopeKind{}},
	{Name: keyTemplates, Value: scopeKind{}},
}}}

// Parse reads a document of identities. The error is inifile.Problems.
func Parse(file string, text []byte) (*Set, error) {
	doc, problems := inifile.Parse(file, text)
	if doc == nil {
		return nil, problems
	}
	view := &inifile.View{Schema: schema, Layers: []inifile.Layer{{Origin: kindIdentity, Doc: doc}}}
	problems = append(problems, view.Check()...)
	problems = append(problems, sharedTokens(view)...)
	if len(problems) > 0 {
		return nil, problems
	}
	set := &Set{}
	for _, name := range view.Names(kindIdentity) {
		set.identities = append(set.identities, build(view, name))
	}
	return set, nil
}

func build(view *inifile.View, name string) Identity {
	identity := Identity{
		Name:      name,
		Role:      Role(view.Text(kindIdentity, name, keyRole)),
		Accounts:  inifile.SplitList(view.Text(kindIdentity, name, keyAccounts)),
		Templates: inifile.SplitList(view.Text(kindIdentity, name, keyTemplates)),
	}
	hash, _ := hex.DecodeString(view.Text(kindIdentity, name, keyHash))
	copy(identity.hash[:], hash)
	return identity
}

// sharedTokens refuses one token for two identities: the audit could not tell
// who made a change.
func sharedTokens(view *inifile.View) inifile.Problems {
	owners := map[string]string{}
	var problems inifile.Problems
	for _, name := range view.Names(kindIdentity) {
		hash := strings.ToLower(view.Text(kindIdentity, name, keyHash))
		if other, taken := owners[hash]; taken {
			p := view.Problem(kindIdentity, name, keyHash, "identity "+other+" has the same token")
			p.Value, p.Permitted = "", "a token for each identity"
			problems = append(problems, p)
		}
		owners[hash] = name
	}
	return problems
}
