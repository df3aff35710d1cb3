package fulmarctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

func (r *runner) printConfig(ctx context.Context) error {
	config, err := r.client.Config(ctx)
	if err != nil {
		return err
	}
	return r.show(config, func() error {
		_, err := fmt.Fprintf(r.out, "// generation %d\n%s\n", config.Generation, config.Document)
		return err
	})
}

func (r *runner) printHistory(ctx context.Context) error {
	config, err := r.client.Config(ctx)
	if err != nil {
		return err
	}
	return r.showTable(config.History, "GENERATION\tWHEN\tAUTHOR\tREASON", func(w io.Writer) {
		for _, change := range config.History {
			when := time.UnixMilli(change.UnixMillis).UTC().Format(time.RFC3339)
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", change.Generation, when, change.Author, change.Reason)
		}
	})
}

func (r *runner) printPools(ctx context.Context) error {
	status, err := r.client.Status(ctx)
	if err != nil {
		return err
	}
	return r.showTable(status.Pools, "POOL\tWORKERS\tSLOTS\tRUNNING\tWAITING\tMEAN MS", func(w io.Writer) {
		for _, p := range status.Pools {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f\n", p.Pool, len(p.Workers), p.Slots, p.Running, p.Waiting, p.MeanMillis)
		}
	})
}

func (r *runner) printVMs(ctx context.Context) error {
	vms, err := r.client.VMs(ctx)
	if err != nil {
		return err
	}
	return r.showTable(vms, "VM\tPOOL\tEPOCH\tSTATE\tDATA CENTRE\tRACK\tADDRESS", func(w io.Writer) {
		for _, vm := range vms {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n", vm.ID, vm.Pool, vm.Epoch, vm.State, vm.DataCentre, vm.Rack, vm.Address)
		}
	})
}

func (r *runner) printMembers(ctx context.Context) error {
	status, err := r.client.Status(ctx)
	if err != nil {
		return err
	}
	return r.showTable(status.Members, "MEMBER\tREGION\tDATA CENTRE\tGENERATION\tLAST MESSAGE MS\tOPERATORS", func(w io.Writer) {
		for _, m := range status.Members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", m.Name, m.Region, m.DataCentre, m.Generation, m.AgeMillis, m.OperatorAddress)
		}
	})
}

func (r *runner) printStatus(ctx context.Context) error {
	status, err := r.client.Status(ctx)
	if err != nil {
		return err
	}
	return r.show(status, func() error {
		_, err := fmt.Fprintf(r.out, "member %s, ready %v, generation %d, last response from the platform %d ms ago, %d members, %d pools\n",
			status.Member, status.Ready, status.Generation, status.ViewAgeMillis, len(status.Members), len(status.Pools))
		return err
	})
}

// show prints a value as JSON if that is requested, and with printPlain otherwise.
func (r *runner) show(value any, printPlain func() error) error {
	if r.options.output != "json" {
		return printPlain()
	}
	encoder := json.NewEncoder(r.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// showTable shows a value whose plain form is a table.
func (r *runner) showTable(value any, header string, rows func(w io.Writer)) error {
	return r.show(value, func() error {
		w := tabwriter.NewWriter(r.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, header)
		rows(w)
		return w.Flush()
	})
}
