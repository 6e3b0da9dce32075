package operator

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/identity"
)

// tokenMode keeps the token from other users of the machine.
const tokenMode = 0o600

// NewToken writes a random token into a new file and returns the section for
// the document of identities, which holds only its hash. A file that exists is
// not replaced.
func NewToken(name, role, file string) (section string, err error) {
	token, hash := identity.NewToken()
	section = fmt.Sprintf("[identity %s]\ntoken_sha256 = %s\nrole = %s\naccounts =\ntemplates =\n", name, hash, role)
	if _, err := identity.Parse("new identity", []byte(section)); err != nil {
		return "", err
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_EXCL|os.O_WRONLY, tokenMode)
	if err != nil {
		return "", errors.Wrap(err, "write the token")
	}
	if _, err := f.WriteString(token + "\n"); err != nil {
		_ = f.Close()
		return "", errors.Wrap(err, "write the token")
	}
	return section, errors.Wrap(f.Close(), "write the token")
}
