package lab

import (
	"encoding/json"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/gaplink/gaplink/lab/soak"
)

func soakCommand() *cobra.Command {
	var o soak.Options
	var seconds int
	cmd := &cobra.Command{
		Use: "soak", Short: "Run routers under random faults and check what gaplink promises", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			o.Length = time.Duration(seconds) * time.Second
			summary, err := soak.Run(ctx, o)
			if writeErr := json.NewEncoder(cmd.OutOrStdout()).Encode(summary); writeErr != nil {
				return writeErr
			}
			return err
		},
	}
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "decides the faults, the requests and how answers end")
	cmd.Flags().IntVar(&seconds, "seconds", 20, "length of the run")
	cmd.Flags().IntVar(&o.Routers, "routers", 3, "routers, each a process")
	cmd.Flags().IntVar(&o.Servers, "servers", 4, "backend servers, within this process")
	cmd.Flags().BoolVar(&o.Brittle, "brittle", false, "servers have little room, and are brittle at times")
	cmd.Flags().BoolVar(&o.Refusals, "refusals", false, "servers refuse most requests for a while, and all routers are killed together in series meanwhile")
	cmd.Flags().BoolVar(&o.Parts, "parts", false, "requests with a part in their prompts that crashes servers, while all routers are killed together in series, and no other faults")
	cmd.Flags().BoolVar(&o.Freezes, "freezes", false, "requests at a fixed rate, while servers fail most of them and some freeze or their links hold bytes, and no other faults")
	cmd.Flags().BoolVar(&o.Releases, "releases", false, "releases of other software versions, while all routers are killed together in series or restarted in turn, some stand still and the store fails, and no other faults")
	cmd.Flags().BoolVar(&o.Batches, "batches", false, "batches of requests use up a large budget, and the router that holds most of it is killed")
	cmd.Flags().IntVar(&o.Processes, "processes", 40, "most processes that the run may have")
	return cmd
}
