package quarantine_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/quarantine"
)

func TestFingerprintTellsContentsApart(t *testing.T) {
	of := func(workspace, host, method, target, body string) quarantine.Fingerprint {
		c := quarantine.Content{Workspace: workspace, Host: host, Method: method, Target: target, Body: []byte(body)}
		return c.Fingerprint()
	}
	one := of("w", "h", "POST", "/a/b", "body")
	qt.Check(t, of("w", "h", "POST", "/a/b", "body"), qt.Equals, one)
	for name, other := range map[string]quarantine.Fingerprint{
		"workspace": of("v", "h", "POST", "/a/b", "body"), "host": of("w", "i", "POST", "/a/b", "body"),
		"method": of("w", "h", "GET", "/a/b", "body"), "target": of("w", "h", "POST", "/a/b?c", "body"),
		"body": of("w", "h", "POST", "/a/b", "bodies"), "split": of("w", "h", "POST", "/a/", "bbody"),
	} {
		qt.Check(t, other == one, qt.IsFalse, qt.Commentf(name))
	}
	qt.Check(t, quarantine.Fingerprint(0xabc).String(), qt.Equals, "0000000000000abc")
}
