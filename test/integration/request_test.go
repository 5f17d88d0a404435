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

func TestCompletionsAndPlainCallsAreServed(t *testing.T) {
	f := newFleet(t)
	donors := lab.NewCaller("donors-caller-token")
	answer, err := donors.AddressList(f.callerAddress(0))
	f.Assert(err, qt.IsNil)
	f.Assert(answer.Addresses, qt.HasLen, 3)
	for i := range f.nodes {
		reply := f.complete(i, fmt.Sprint("letter", i), 8, nil)
		f.Check(reply.Complete, qt.IsTrue)
		f.Check(reply.Text, qt.Equals, lab.ExpectedText(fmt.Sprint("letter", i), 8))
		unstreamed := donors.Complete(f.callerAddress(i), lab.Completion{Model: "letters-70b", Prompt: "w", Tokens: 3, NonStreaming: true})
		f.Check(unstreamed.Text, qt.Contains, lab.ExpectedText("w", 3))
	}
	burn := f.CLI("report", "burn", "-o", "json")
	f.Check(burn.Stdout, qt.Contains, `"total": 6,`)
	f.Check(regexp.MustCompile(`"bad": [1-9]`).MatchString(burn.Stdout), qt.IsFalse, qt.Commentf("a complete answer was counted as bad: %s", burn.Stdout))
	receipt := lab.NewCaller("gifts-caller-token").CallService(f.callerAddress(0), http.MethodPost, "/services/receipts/receipts", "m", "", "100 kr")
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
		reply := lab.NewCaller(c.token).Complete(f.callerAddress(0), lab.Completion{Model: c.model, Prompt: "p", Tokens: 1})
		f.Check(reply.Status, qt.Equals, c.status, qt.Commentf(c.name))
		f.Check(reply.Verdict, qt.Equals, "not-run", qt.Commentf(c.name))
	}
	shared := lab.NewCaller("pledges-caller-token").Complete(f.callerAddress(0), lab.Completion{Model: "letters-70b", Prompt: "p", Tokens: 1})
	f.Check(shared.Complete, qt.IsTrue)
}

func TestEachCallerGetsItsOwnWholeAnswer(t *testing.T) {
	f := newFleet(t)
	for _, e := range f.Engines {
		e.MisattributeNext.Store(true) // the engine answers its first request under another request's ID
	}
	var callers sync.WaitGroup
	for i := range 40 {
		callers.Go(func() {
			prompt := fmt.Sprint("mine-", i)
			reply := f.complete(i%3, prompt, 5, nil)
			f.Check(reply.Text, qt.Equals, lab.ExpectedText(prompt, 5), qt.Commentf("status %d, verdict %q", reply.Status, reply.Verdict))
		})
	}
	callers.Wait()
}

func TestStreamOfAGroupThatLosesAMemberIsNotReportedWhole(t *testing.T) {
	f := newFleet(t)
	var killedVM string
	reply := f.complete(0, "cut", 400, func(n int) error {
		if n == 5 {
			leader := f.busyVM()
			_, _, members := f.groupOf(leader)
			killedVM = members[len(members)-1]
			f.Engines[killedVM].Kill()
		}
		return nil
	})
	f.Check(reply.Complete, qt.IsFalse)
	f.Check(reply.Verdict, qt.Equals, "may-have-run")
	f.Check(reply.Events < 400, qt.IsTrue)
	f.waitUntil("the killed VM is in no group", func() bool {
		id, _, _ := f.groupOf(killedVM)
		return id == ""
	})
	f.Assert(f.WaitForUsableGroups(4, waitTimeout), qt.IsNil)
}

func TestGroupOutOfUseOnceAMemberIsSilent(t *testing.T) {
	f := newFleet(t)
	vm := "rvk-1-a-2"
	id, usable, _ := f.groupOf(vm)
	f.Assert(usable, qt.IsTrue)
	f.Objects.Down.Store(true) // evidence is distributed without the store
	f.Engines[vm].Freeze(true)
	usableNow := func() bool {
		s, err := f.Status()
		f.Assert(err, qt.IsNil)
		i := slices.IndexFunc(s.Groups, func(g adminapi.Group) bool { return g.ID == id })
		return s.Groups[i].Usable
	}
	f.waitUntil("the group is not usable", func() bool { return !usableNow() })
	reply := f.complete(0, "others serve on", 4, nil)
	f.Check(reply.Complete, qt.IsTrue)
	f.Engines[vm].Freeze(false)
	f.waitUntil("the group is usable again while the store is down", usableNow)
	f.Objects.Down.Store(false)
}

func TestDisconnectedCallerCancelsItsStream(t *testing.T) {
	f := newFleet(t)
	reply := f.complete(1, "leaving", 500, func(n int) error {
		if n == 3 {
			return lab.ErrCallerLeft
		}
		return nil
	})
	f.Check(reply.Err, qt.Equals, lab.ErrCallerLeft)
	f.waitUntil("an engine has cancelled the stream", func() bool {
		total := int64(0)
		for _, e := range f.Engines {
			total += e.Cancelled.Load()
		}
		return total == 1
	})
}
