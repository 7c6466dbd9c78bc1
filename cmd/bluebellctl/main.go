// Command bluebellctl is the operators' tool of bluebellfield.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Platform string `long:"platform" value-name:"IP:PORT" default:"127.0.0.1:8083" description:"platform address of the daemon"`
	Args     struct {
		Command string `positional-arg-name:"COMMAND" description:"metrics"`
	} `positional-args:"yes" required:"yes"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if o.Args.Command != "metrics" {
		fmt.Fprintf(os.Stderr, "bluebellctl: unknown command %q\n", o.Args.Command)
		os.Exit(2)
	}
	resp, err := http.Get("http://" + o.Platform + "/metrics")
	if err != nil {
		fmt.Fprintln(os.Stderr, "bluebellctl:", err)
		os.Exit(1)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(os.Stdout, resp.Body)
}
