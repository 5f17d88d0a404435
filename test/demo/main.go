// Command demo runs a complete deployment on one machine: stand-ins for the platform and the endpoints, moorrund
// processes, the operators' command line and a caller.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"moorrun.dev/moorrun/internal/lab"
)

const (
	groupCount   = 4
	startTimeout = 20 * time.Second
)

func main() {
	keep := flag.Bool("keep", false, "leave everything running until interrupted")
	flag.Parse()
	if err := run(*keep); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(keep bool) error {
	dir, err := os.MkdirTemp("", "moorrun-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir) //nolint:errcheck // a temporary directory
	if err := lab.Build(".", dir); err != nil {
		return err
	}
	l, err := lab.New(lab.Options{
		Dir: dir, BinDir: dir, Config: filepath.Join("examples", "gjafabru"), TokenInterval: 15 * time.Millisecond,
		Prefill: 50 * time.Millisecond, WeightLoadTime: 500 * time.Millisecond, LoadsPerSecond: 50, VMListLag: time.Second,
	})
	if err != nil {
		return err
	}
	defer l.Close()
	if err := runDemo(l); err != nil {
		return fmt.Errorf("%w\n%s", err, logTails(l))
	}
	if keep {
		return waitForInterrupt(l)
	}
	return nil
}

func runDemo(l *lab.Lab) error {
	for _, n := range [][2]string{{"entry-1", "rvk-1"}, {"entry-2", "rvk-1"}, {"entry-3", "rvk-2"}} {
		if _, err := l.StartNode(n[0], n[1]); err != nil {
			return err
		}
	}
	fmt.Printf("%d engine VMs and %d plain endpoints stand in; 3 moorrund processes run in 2 data centres\n\n", len(l.Engines), len(l.PlainEndpoints))
	if err := lab.WaitUntil(startTimeout, "an accepted configuration", func() bool {
		out := l.CLI("apply", l.ConfigDir, "--wait")
		if out.Code == 0 {
			fmt.Printf("$ moorrun apply examples/gjafabru --wait\n%s\n", lastLines(out.Stdout))
		}
		return out.Code == 0
	}); err != nil {
		return err
	}
	if err := l.WaitForUsableGroups(groupCount, startTimeout); err != nil {
		return err
	}
	address, err := fetchAddress(l)
	if err != nil {
		return err
	}
	if err := sendRequests(address); err != nil {
		return err
	}
	fmt.Printf("$ moorrun status\n%s\n", l.CLI("status").Stdout)
	fmt.Printf("$ moorrun report burn\n%s\n", l.CLI("report", "burn").Stdout)
	return nil
}

// lastLines returns the last two lines of the output of apply, which contain its outcome.
func lastLines(text string) string {
	const lines = 2
	end := len(text)
	for i, n := end-1, 0; i >= 0; i-- {
		if text[i] == '\n' {
			if n++; n > lines {
				return text[i+1 : end]
			}
		}
	}
	return text
}

func fetchAddress(l *lab.Lab) (string, error) {
	first := l.Nodes()[0].Settings.CallerAddress
	answer, err := lab.NewCaller("").AddressList(first)
	if err != nil || len(answer.Addresses) == 0 {
		return "", errors.Join(errors.New("/v1/which returned no address"), err)
	}
	fmt.Printf("$ curl http://%s/v1/which\n", first)
	for _, a := range answer.Addresses {
		fmt.Printf("%s  %s in %s\n", a.Address, a.VM, a.DataCentre)
	}
	fmt.Printf("good for %d ms\n\n", answer.LifetimeMS)
	return answer.Addresses[0].Address, nil
}

func sendRequests(address string) error {
	donors := lab.NewCaller("donors-caller-token")
	const prompt, tokens = "Dear-family", 12
	fmt.Printf("$ curl http://%s/v1/completions ...\n", address)
	reply := donors.Complete(address, lab.Completion{Model: "letters-70b", Prompt: prompt, Tokens: tokens})
	fmt.Printf("%s\n%d events, first after %s, whole: %v, verdict: %s\n\n", reply.Text, reply.Events,
		reply.FirstToken.Round(time.Millisecond), reply.Complete, reply.Verdict)
	if !reply.Complete || reply.Text != lab.ExpectedText(prompt, tokens) {
		return fmt.Errorf("the completion is not whole: status %d, %q, %w", reply.Status, reply.Text, reply.Err)
	}
	gifts := lab.NewCaller("gifts-caller-token")
	prefix, err := gifts.KeyPrefix(address)
	if err != nil {
		return err
	}
	for range 2 { // the second call has the same key and must not run again
		receipt := gifts.CallService(address, "POST", "/services/receipts/receipts", "receipt-1", prefix+"/receipt-1", "100 kr")
		fmt.Printf("receipt, status %d, verdict %s: %s", receipt.Status, receipt.Verdict, receipt.Text)
		if receipt.Status != 200 {
			return fmt.Errorf("the receipt failed: %w", receipt.Err)
		}
	}
	fmt.Println()
	return nil
}

func logTails(l *lab.Lab) string {
	const maxBytes = 4000
	text := ""
	for _, n := range l.Nodes() {
		content, _ := os.ReadFile(n.LogFile)
		text += n.Settings.VM + ":\n" + string(content[max(0, len(content)-maxBytes):]) + "\n"
	}
	return text
}

func waitForInterrupt(l *lab.Lab) error {
	n := l.Nodes()[0].Settings
	fmt.Printf("Try:\n  curl http://%s/v1/which\n", n.CallerAddress)
	fmt.Printf("  curl -N -H 'Authorization: Bearer donors-caller-token' -d '{\"model\":\"letters-70b\",\"prompt\":\"Hello\",\"stream\":true}' http://%s/v1/completions\n", n.CallerAddress)
	fmt.Printf("  curl -H 'Authorization: Bearer platform-token' http://%s/admin/v1/status\n  curl http://%s/metrics\nInterrupt to end.\n", n.AdminAddress, n.AdminAddress)
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt)
	<-interrupted
	return nil
}
