package dogwoodroot

import (
	"fmt"
	"strings"

	"dogwoodmux.example/dogwoodlocal/dogwoodsite"
)

// Banner returns the text printed at the start: the site's addresses and keys, and the example
// command lines.
func Banner(site *dogwoodsite.Site) string {
	var text strings.Builder
	shape := site.Shape
	fmt.Fprintf(&text, "dogwoodlocal runs %s: %d engines (%s), %d servers (%s), %d daemons.\n\n",
		shape.Name, len(site.Engines), shape.Pool, len(site.Plain), shape.Plain, len(site.Daemons()))
	for _, daemon := range site.Daemons() {
		fmt.Fprintf(&text, "  %-10s %-12s callers %-18s admin %s\n", daemon.VM, daemon.Place.DataCentre, daemon.Serve, daemon.Admin)
	}
	fmt.Fprintf(&text, "\nadministration key: %s\nAPI key of %s: %s\n\n", site.AdminKey, shape.Customers[0], site.Keys(shape.Customers[0]))
	for _, line := range Examples(site) {
		text.WriteString(line + "\n")
	}
	return text.String()
}

// Examples returns command lines that can be run as printed while the site runs.
func Examples(site *dogwoodsite.Site) []string {
	serve := site.Daemons()[0].Serve
	key := site.Keys(site.Shape.Customers[0])
	return []string{
		fmt.Sprintf(`curl -H 'Authorization: Bearer %s' http://%s/v1/entry`, key, serve),
		fmt.Sprintf(`curl -N -H 'Authorization: Bearer %s' -H 'Dogwood-Deadline: 20s' -d '{"model":"%s","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Draft a listing for a blue van."}]}' http://%s/v1/chat/completions`, key, site.Shape.Model, serve),
		fmt.Sprintf(`curl -H 'Authorization: Bearer %s' -H 'Idempotency-Key: hold-1' -d '{"Car":"blue-van-7"}' http://%s/services/%s/holds`, key, serve, site.Shape.Plain),
	}
}
