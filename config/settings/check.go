package settings

import (
	"net/netip"

	"github.com/yuccaroute/yuccaroute/config/inifile"
)

// checker looks for faults between settings that are right alone.
type checker struct {
	view     *inifile.View
	settings *Settings
	problems inifile.Problems
}

func check(view *inifile.View, s *Settings) inifile.Problems {
	c := checker{view: view, settings: s}
	c.addresses()
	c.keyFiles()
	c.protection()
	return c.problems
}

func (c *checker) add(section, key, message, permitted string) {
	p := c.view.Problem(section, "", key, message)
	p.Permitted = permitted
	c.problems = append(c.problems, p)
}

// addresses refuses two listeners on one address and port, and peers on an
// address that other nodes cannot use to reach this one.
func (c *checker) addresses() {
	seen := map[netip.AddrPort]string{}
	for _, key := range []string{keyCallers, keyAdmin, keyPeers} {
		addr := address(c.view, sectionListen, key)
		if other, taken := seen[addr]; taken && addr.Port() != 0 {
			c.add(sectionListen, key, "the address is also given for "+other, "one address and port for each listener")
		}
		seen[addr] = key
	}
	if c.settings.Listen.Peers.Addr().IsUnspecified() {
		c.add(sectionListen, keyPeers, "other nodes cannot connect to an unspecified address", "the IP address of this VM")
	}
}

func (c *checker) keyFiles() {
	tls := c.settings.TLS
	if (tls.CertificateFile == "") != (tls.KeyFile == "") {
		c.add(sectionTLS, keyKey, "a certificate and its key belong together", "both "+keyCertificate+" and "+keyKey+", or none")
	}
	if tls.AuthorityFile != "" && !tls.Enabled() {
		c.add(sectionTLS, keyAuthority, "an authority is given without a certificate", "only together with "+keyCertificate)
	}
	if tls.Enabled() && tls.AuthorityFile == "" {
		c.add(sectionTLS, keyAuthority, "nodes with keys must know whose peers to trust", "the path of a file")
	}
}

// protection refuses tokens and peer traffic in the clear on a network, unless
// the settings say so.
func (c *checker) protection() {
	s := c.settings
	if s.Admin.Open && !s.Listen.Admin.Addr().IsLoopback() {
		c.add(sectionAdmin, keyOpen, "an administration API without tokens is only for loopback", "no, unless [listen] admin is a loopback address")
	}
	if s.TLS.Enabled() || s.TLS.PlainAllowed {
		return
	}
	for _, key := range []string{keyAdmin, keyPeers} {
		if !address(c.view, sectionListen, key).Addr().IsLoopback() {
			c.add(sectionListen, key, "the address is not loopback and there are no keys", "keys in [tls], or [tls] plain_allowed = yes")
		}
	}
}
