package dogwoodcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// columnGap separates the columns of a table on a terminal.
const columnGap = 2

// Table holds rows of cells and the headings of the columns.
type Table struct {
	Headings []string
	Rows     [][]string
}

// Print writes aligned columns with headings if the output is a terminal, and tab-separated
// rows without headings for other programs if it is not.
func (table *Table) Print(out io.Writer, terminal bool) error {
	if !terminal {
		for _, row := range table.Rows {
			if _, err := fmt.Fprintln(out, strings.Join(row, "\t")); err != nil {
				return err
			}
		}
		return nil
	}
	writer := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	for _, row := range append([][]string{table.Headings}, table.Rows...) {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// PrintJSON writes a value as indented JSON.
func PrintJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
