package integration

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/adminapi"
	"moorrun.dev/moorrun/internal/lab"
)

func TestWholePath(t *testing.T) {
	f := newFleet(t)
	donors := lab.NewCaller("donors-caller-token")
	answer, err := donors.AddressList(f.address(0))
	f.Assert(err, qt.IsNil)
	f.Assert(answer.Addresses, qt.HasLen, 3)
	for i := range f.nodes {
		reply := f.letter(i, fmt.Sprint("letter", i), 8, nil)
		f.Check(reply.Complete, qt.IsTrue)
		f.Check(reply.Text, qt.Equals, lab.ExpectedText(fmt.Sprint("letter", i), 8))
		whole := donors.Complete(f.address(i), lab.Completion{Model: "letters-70b", Prompt: "w", Tokens: 3, NonStreaming: true})
		f.Check(whole.Text, qt.Contains, lab.ExpectedText("w", 3))
	}
	burnt := f.CLI("report", "burn", "-o", "json")
	f.Check(burnt.Stdout, qt.Contains, `"total": 6,`)
	f.Check(regexp.MustCompile(`"bad": [1-9]`).MatchString(burnt.Stdout), qt.IsFalse, qt.Commentf("whole answers count as good: %s", burnt.Stdout))
	receipt := lab.NewCaller("gifts-caller-token").CallService(f.address(0), http.MethodPost, "/services/receipts/receipts", "m", "", "100 kr")
	f.Check(receipt.Status, qt.Equals, http.StatusOK)
	f.Check(receipt.Verdict, qt.Equals, "ran")
	f.Check(f.PlainEndpoints["receipts-1"].Runs("m")+f.PlainEndpoints["receipts-2"].Runs("m"), qt.Equals, 1)
}

func TestRefusalsSayThatNothingRan(t *testing.T) {
	f := newFleet(t)
	cases := []struct {
		name, token, model string
		status             int
	}{
		{"no credential", "", "letters-70b", http.StatusUnauthorized},
		{"unknown credential", "guess", "letters-70b", http.StatusUnauthorized},
		{"an operator is no caller", lab.OperatorToken, "letters-70b", http.StatusUnauthorized},
		{"another workspace's model", "gifts-caller-token", "classify-30b", http.StatusNotFound},
	}
	for _, c := range cases {
		reply := lab.NewCaller(c.token).Complete(f.address(0), lab.Completion{Model: c.model, Prompt: "p", Tokens: 1})
		f.Check(reply.Status, qt.Equals, c.status, qt.Commentf(c.name))
		f.Check(reply.Verdict, qt.Equals, "not-run", qt.Commentf(c.name))
	}
	shared := lab.NewCaller("pledges-caller-token").Complete(f.address(0), lab.Completion{Model: "letters-70b", Prompt: "p", Tokens: 1})
	f.Check(shared.Complete, qt.IsTrue)
}

func TestEachCallerGetsItsOwnWholeAnswer(t *testing.T) {
	f := newFleet(t)
	for _, e := range f.Engines {
		e.MisattributeNext.Store(true) // the first answer of each engine is another request's
	}
	var callers sync.WaitGroup
	for i := range 40 {
		callers.Go(func() {
			prompt := fmt.Sprint("mine-", i)
			reply := f.letter(i%3, prompt, 5, nil)
			f.Check(reply.Text, qt.Equals, lab.ExpectedText(prompt, 5), qt.Commentf("status %d, verdict %q", reply.Status, reply.Verdict))
		})
	}
	callers.Wait()
}

func TestStreamThatLosesAMemberIsNotEndedAsWhole(t *testing.T) {
	f := newFleet(t)
	var lost string
	reply := f.letter(0, "cut", 400, func(n int) error {
		if n == 5 {
			leader := f.busyLeader()
			_, _, members := f.groupOf(leader)
			lost = members[len(members)-1]
			f.Engines[lost].Kill()
		}
		return nil
	})
	f.Check(reply.Complete, qt.IsFalse)
	f.Check(reply.Verdict, qt.Equals, "may-have-run")
	f.Check(reply.Events < 400, qt.IsTrue)
	f.until("the broken group out of use, then whole again without the lost VM", func() bool {
		id, _, _ := f.groupOf(lost)
		return id == ""
	})
	f.Assert(f.WaitForUsableGroups(4, patience), qt.IsNil)
}

func TestGroupOutOfUseOnceAMemberIsSilent(t *testing.T) {
	f := newFleet(t)
	vm := "rvk-1-a-2"
	id, usable, _ := f.groupOf(vm)
	f.Assert(usable, qt.IsTrue)
	f.Objects.Down.Store(true) // evidence does not need the store
	f.Engines[vm].Freeze(true)
	usableNow := func() bool {
		s, err := f.Status()
		f.Assert(err, qt.IsNil)
		i := slices.IndexFunc(s.Groups, func(g adminapi.Group) bool { return g.ID == id })
		return s.Groups[i].Usable
	}
	f.until("the group out of use", func() bool { return !usableNow() })
	reply := f.letter(0, "others serve on", 4, nil)
	f.Check(reply.Complete, qt.IsTrue)
	f.Engines[vm].Freeze(false)
	f.until("the group back in use, the store still down", usableNow)
	f.Objects.Down.Store(false)
}

func TestLeavingCallerCancelsItsStream(t *testing.T) {
	f := newFleet(t)
	reply := f.letter(1, "leaving", 500, func(n int) error {
		if n == 3 {
			return lab.ErrCallerLeft
		}
		return nil
	})
	f.Check(reply.Err, qt.Equals, lab.ErrCallerLeft)
	f.until("a cancelled stream at an engine", func() bool {
		total := int64(0)
		for _, e := range f.Engines {
			total += e.Cancelled.Load()
		}
		return total == 1
	})
}
