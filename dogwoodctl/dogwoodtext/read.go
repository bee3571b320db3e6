package dogwoodtext

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"dogwoodmux.example/core/dogwoodsubcommand"

	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/dogwoodctl/dogwoodcommand"
)

// standardInput is the file name that stands for the standard input.
const standardInput = "-"

func readSource(file string, in io.Reader) ([]byte, error) {
	if file == standardInput {
		return io.ReadAll(in)
	}
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, dogwoodsubcommand.NewUsageError("%v", err)
	}
	return source, nil
}

func fileArgument(arguments []string) (string, error) {
	if len(arguments) != 1 {
		return "", dogwoodsubcommand.NewUsageError("give one file, or - for the standard input")
	}
	return arguments[0], nil
}

// checkLocally checks the text before it is sent to a daemon. It reports faults in the format
// of compilers, file:line:column.
func checkLocally(file string, source []byte) error {
	_, err := dogwoodsettings.ParseText(source)
	var problems *dogwoodsettings.Problems
	if !errors.As(err, &problems) {
		return err
	}
	return &dogwoodcommand.CodedError{Code: dogwoodcommand.ExitInvalid, Err: problemsError(file, problems.List)}
}

func problemsError(file string, problems []dogwoodsettings.Problem) error {
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = fmt.Sprintf("%s:%s", file, problem)
	}
	return errors.New("the text has faults:\n" + strings.Join(lines, "\n"))
}
