package settings

import (
	"fmt"
	"strings"
)

// Reference generates the settings reference page in Markdown from the schema.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings reference\n\n")
	b.WriteString("Written by `bluebellctl settings reference` from the schema; do not edit.\n\n")
	b.WriteString("Settings stand at the nodes of a tree: ")
	for i, f := range pathForms {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "`%s`", f.form)
	}
	b.WriteString(".\nA node inherits what it does not set, from the first of these that does:\n\n")
	for _, f := range pathForms {
		if chain := inheritedForms(f.form); chain != "" {
			fmt.Fprintf(&b, "* `%s`: %s\n", f.form, chain)
		}
	}
	b.WriteString("\nMerge rules: `override` uses the nearest value; `limit` uses the smallest, and a node may not exceed the\n")
	b.WriteString("nodes that it inherits from; `union` joins the lists of all nodes.\n\n")
	b.WriteString("| key | type | unit | accepted | default | nodes | merge | meaning |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|\n")
	for i := range schema {
		k := &schema[i]
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | `%s` | %s | %s | %s |\n",
			k.Name, k.Type, k.Unit, escapeCell(k.AcceptedText()), k.Default, escapeCell(strings.Join(k.Nodes.PathForms(), ", ")), k.Merge, escapeCell(k.Doc))
	}
	return b.String()
}

// inheritedForms returns the path forms that a form inherits from, with the
// placeholder names of that form.
func inheritedForms(form string) string {
	names := map[string]string{"<id>": "i", "<account>": "a", "<service>": "s"}
	path := form
	for name, short := range names {
		path = strings.ReplaceAll(path, name, short)
	}
	loc, _ := parsePath(path)
	var above []string
	for _, p := range loc.inheritanceChain()[1:] {
		for name, short := range names {
			if strings.Contains(form, name) && strings.HasSuffix(p, "/"+short) {
				p = strings.TrimSuffix(p, short) + name
			}
		}
		above = append(above, "`"+p+"`")
	}
	return strings.Join(above, ", ")
}

// escapeCell escapes characters that would end a table cell or start markup.
func escapeCell(s string) string {
	return strings.NewReplacer("|", `\|`, "<", `\<`).Replace(s)
}
