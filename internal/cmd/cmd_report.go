package cmd

import (
	"fmt"

	"github.com/spf13/pflag"
	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/adminapi"
	"moorrun.dev/moorrun/internal/burn"
	"moorrun.dev/moorrun/internal/burn/burnplot"
)

var cmdReport = &Command{
	Name: "report", Desc: "reports on the service", NArgs: 0,
	Sub: []*Command{cmdReportBurn},
}

var cmdReportBurn = &Command{
	Name: "burn", Desc: "report how fast services spend their error budgets", NArgs: 0,
	Flags: func(f *pflag.FlagSet) {
		outputFlag(f)
		f.String("plot", "", "file to draw the burn rates into: .svg, .png or .pdf")
	},
	Action: func(e *Env, _ []string) error {
		report, missing, err := e.burnReport()
		if err != nil {
			return err
		}
		if file := e.stringFlag("plot"); file != "" {
			if err := burnplot.Plot(report, file); err != nil {
				return err
			}
		}
		if e.stringFlag("output") == "json" {
			return e.printJSON(report)
		}
		e.printf("%d nodes asked; the counts start anew when a VM is replaced\n", report.Nodes)
		for _, n := range missing {
			e.printf("no answer from %s: its requests are missing\n", n)
		}
		e.burnTables(report)
		return nil
	},
}

// burnReport returns the merged counts of all nodes, and the VMs of the nodes whose counts are missing.
func (e *Env) burnReport() (burn.Report, []string, error) {
	var s adminapi.Status
	if err := e.Client.get(adminapi.PathStatus, &s); err != nil {
		return burn.Report{}, nil, err
	}
	var nodes []burn.NodeCounts
	var missing []string
	for _, n := range s.Nodes {
		r, err := e.Client.callNode(n.AdminAddress, fasthttp.MethodGet, adminapi.PathBurn, nil)
		var counts burn.NodeCounts
		if err != nil || r.status != fasthttp.StatusOK || r.decode(&counts) != nil {
			missing = append(missing, n.VM)
			continue
		}
		nodes = append(nodes, counts)
	}
	return burn.Merge(nodes), missing, nil
}

func (e *Env) burnTables(report burn.Report) {
	var rows []string
	for _, s := range report.Services {
		cells := []any{s.Workspace, s.Service, s.Availability}
		for _, b := range s.Burn {
			cells = append(cells, fmt.Sprintf("%.2f (%d/%d)", b.Rate, b.Bad, b.Total))
		}
		cells = append(cells, fmt.Sprintf("%.0f%%", 100*s.Remaining), s.LatencyP50, s.LatencyP99, s.FirstTokenP95)
		rows = append(rows, row(cells...))
	}
	header := "WORKSPACE\tSERVICE\tOBJECTIVE"
	for _, w := range burn.Windows {
		header += "\tBURN " + w.Name + " (BAD/ALL)"
	}
	e.table(header+"\tBUDGET LEFT\tP50 MS\tP99 MS\tFIRST TOKEN P95 MS", rows)
	rows = nil
	for _, l := range report.Losses {
		rows = append(rows, row(choose(l.Workspace != "", l.Workspace, "(in no group)"), fmt.Sprintf("%.1f", l.DowntimeSeconds), fmt.Sprintf("%.1f", l.StrandedSeconds)))
	}
	e.table("WORKSPACE\tGROUP DOWNTIME S\tSTRANDED ACCELERATOR S", rows)
}
