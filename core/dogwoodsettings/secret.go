package dogwoodsettings

import (
	"os"
	"strings"
)

// Read returns the key. An empty key is an error, since it would admit everybody.
func (secret Secret) Read() (string, error) {
	switch {
	case secret.Value != "":
		return secret.Value, nil
	case secret.File != "":
		return secret.readFile()
	case secret.Environment != "":
		key := os.Getenv(secret.Environment)
		if key == "" {
			return "", Error.New("the environment variable %s is empty or not set", secret.Environment)
		}
		return key, nil
	default:
		return "", Error.New("no key is given")
	}
}

func (secret Secret) readFile() (string, error) {
	content, err := os.ReadFile(secret.File)
	if err != nil {
		return "", Error.Wrap(err)
	}
	key := strings.TrimSpace(string(content))
	if key == "" {
		return "", Error.New("the key file %s is empty", secret.File)
	}
	return key, nil
}
