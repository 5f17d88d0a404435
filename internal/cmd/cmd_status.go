package cmd

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/spf13/pflag"

	"moorrun.dev/moorrun/internal/adminapi"
)

var cmdStatus = &Command{
	Name: "status", Desc: "show nodes, replica groups, VMs, workspaces and endpoints", NArgs: 0,
	Flags: outputFlag,
	Action: func(e *Env, _ []string) error {
		var s adminapi.Status
		if err := e.Client.get(adminapi.PathStatus, &s); err != nil {
			return err
		}
		if e.stringFlag("output") == "json" {
			return e.printJSON(s)
		}
		e.printf("revision %d as seen by %s; %d invariant checks, %d breaches\n", s.Revision, s.VM, s.Checks, s.Breaches)
		e.nodeTable(s)
		e.groupTable(s)
		e.vmTable(s)
		e.workspaceTable(s)
		e.endpointTable(s)
		return nil
	},
}

func outputFlag(f *pflag.FlagSet) { f.StringP("output", "o", "table", "table or json") }

// table prints a header and rows, whose cells are separated by tabs. It prints nothing if there are no rows.
func (e *Env) table(header string, rows []string) {
	if len(rows) == 0 {
		return
	}
	const gap = 2
	w := tabwriter.NewWriter(e.Out, 0, 0, gap, ' ', 0)
	_, _ = fmt.Fprintln(w, "\n"+header)
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, r)
	}
	_ = w.Flush()
}

// row joins the cells of a table row with tabs.
func row(cells ...any) string {
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = fmt.Sprint(c)
	}
	return strings.Join(text, "\t")
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

func (e *Env) nodeTable(s adminapi.Status) {
	var rows []string
	for _, n := range s.Nodes {
		rows = append(rows, row(n.VM, n.DataCentre, n.CallerAddress, n.Revision, choose(n.Draining, "draining", "serving"), n.HeardMS))
	}
	e.table("NODE\tDATA CENTRE\tADDRESS\tREVISION\tSTATE\tHEARD MS AGO", rows)
}

func (e *Env) groupTable(s adminapi.Status) {
	var rows []string
	for _, g := range s.Groups {
		rows = append(rows, row(g.ID, g.Domain, g.Workspace, g.Model, g.Version, g.State, choose(g.Usable, "yes", "no"), strings.Join(g.VMs, ",")))
	}
	e.table("REPLICA GROUP\tDOMAIN\tWORKSPACE\tMODEL\tVERSION\tSTATE\tUSABLE\tVMS", rows)
}

func (e *Env) vmTable(s adminapi.Status) {
	var rows []string
	for _, v := range s.VMs {
		if v.Group == "" || v.Drained {
			rows = append(rows, row(v.Name, v.Domain, v.DataCentre, choose(v.Group != "", v.Group, "-"), choose(v.Drained, "drained", "free")))
		}
	}
	e.table("VM OUT OF USE\tDOMAIN\tDATA CENTRE\tGROUP\tWHY", rows)
}

func (e *Env) workspaceTable(s adminapi.Status) {
	var rows []string
	for _, w := range s.Workspaces {
		rows = append(rows, row(w.Workspace, w.Model, w.Waiting, w.Running, w.Held))
	}
	e.table("WORKSPACE\tMODEL\tWAITING\tRUNNING\tPLACES", rows)
}

func (e *Env) endpointTable(s adminapi.Status) {
	var rows []string
	for _, p := range s.Endpoints {
		rows = append(rows, row(p.Name, p.Workspace, p.Service, p.Address, choose(p.Drained, "drained", "in use")))
	}
	e.table("ENDPOINT\tWORKSPACE\tSERVICE\tADDRESS\tSTATE", rows)
}
