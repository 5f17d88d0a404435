package entry

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestPromptPartsAreParagraphs(t *testing.T) {
	one := promptParts("Answer the letter.\n\nA quoted document,\nof two lines.\n\nletter 1")
	qt.Assert(t, one, qt.HasLen, 3)
	other := promptParts("A quoted document,\nof two lines.\n\n\n  Answer the letter.  \n\nletter 2")
	qt.Check(t, other[:2], qt.DeepEquals, []string{one[1], one[0]}, qt.Commentf("parts do not depend on what is around them"))
	qt.Check(t, other[2], qt.Not(qt.Equals), one[2])
	qt.Check(t, promptParts(" \n\n "), qt.HasLen, 0)
	qt.Check(t, promptParts(strings.Repeat("a\n\n", 1000)), qt.HasLen, maxPromptParts)
}
