package dogwoodsubcommand

import (
	"fmt"
	"io"
)

// FileCheck is a file and the function that checks its content. If Name is empty, the check
// is skipped.
type FileCheck struct {
	Name  string
	Check func(source []byte) error
}

// CheckFiles runs the checks in order and writes a line for each file without faults. It
// stops at the first file that can't be read or has faults and returns that error.
func CheckFiles(out io.Writer, readFile func(name string) ([]byte, error), checks []FileCheck) error {
	for _, check := range checks {
		if check.Name == "" {
			continue
		}
		source, err := readFile(check.Name)
		if err != nil {
			return fmt.Errorf("reading: %w", err)
		}
		if err := check.Check(source); err != nil {
			return fmt.Errorf("%s:\n%w", check.Name, err)
		}
		if _, err := fmt.Fprintf(out, "%s: no faults\n", check.Name); err != nil {
			return fmt.Errorf("writing the outcome: %w", err)
		}
	}
	return nil
}
