package lab

import (
	"os"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a starting program that reads an empty token file while another caller rewrites it.
func TestTokenFileIsWholeAtAnyTime(t *testing.T) {
	l := &Lab{Options: Options{Dir: t.TempDir()}}
	file, err := l.tokenFile(OperatorToken)
	qt.Assert(t, err, qt.IsNil)
	var writers sync.WaitGroup
	for range 4 {
		writers.Go(func() {
			for range 200 {
				_, err := l.tokenFile(OperatorToken)
				qt.Check(t, err, qt.IsNil)
			}
		})
	}
	for range 2000 {
		content, err := os.ReadFile(file) //nolint:gosec // our own file
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(content), qt.Equals, OperatorToken+"\n")
	}
	writers.Wait()
}
