package quarantine_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/quarantine"
)

func TestFingerprintDiffersByContent(t *testing.T) {
	fingerprintOf := func(workspace, host, method, target, body string) quarantine.Fingerprint {
		c := quarantine.Content{Workspace: workspace, Host: host, Method: method, Target: target, Body: []byte(body)}
		return c.Fingerprint()
	}
	one := fingerprintOf("w", "h", "POST", "/a/b", "body")
	qt.Check(t, fingerprintOf("w", "h", "POST", "/a/b", "body"), qt.Equals, one)
	for name, other := range map[string]quarantine.Fingerprint{
		"workspace": fingerprintOf("v", "h", "POST", "/a/b", "body"), "host": fingerprintOf("w", "i", "POST", "/a/b", "body"),
		"method": fingerprintOf("w", "h", "GET", "/a/b", "body"), "target": fingerprintOf("w", "h", "POST", "/a/b?c", "body"),
		"body": fingerprintOf("w", "h", "POST", "/a/b", "bodies"), "split": fingerprintOf("w", "h", "POST", "/a/", "bbody"),
	} {
		qt.Check(t, other == one, qt.IsFalse, qt.Commentf(name))
	}
	qt.Check(t, quarantine.Fingerprint(0xabc).String(), qt.Equals, "0000000000000abc")
}
