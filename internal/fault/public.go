package fault

import "regexp"

// addresses matches the two ends of a connection as errors of the network name them,
// and single addresses.
var addresses = regexp.MustCompile(` ?(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.%a-z]+\])(:\d+)?(->(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.%a-z]+\])(:\d+)?)?`)

// Public returns the text of an error for callers: without the addresses of upstreams
// and of connections, which are for the log.
func Public(text string) string { return addresses.ReplaceAllString(text, "") }
