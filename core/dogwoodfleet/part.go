package dogwoodfleet

import "strings"

// PromptPart names a part of a prompt, which other requests may have too. Equal names mean equal content for one model of
// a service.
type PromptPart string

// MaxPromptParts bounds the parts of a prompt that are distinguished.
const MaxPromptParts = 64

// maxComponentBytes bounds each of the three components of a part's name.
const maxComponentBytes = 40

// Pool returns the part of the name that all parts for the same model of a service have in common.
func (part PromptPart) Pool() string {
	return string(part[:strings.LastIndex(string(part), "/")+1])
}

// NewPromptPart returns the name of a part by its ID, for one model of a service. What is too long is replaced by its digest.
func NewPromptPart(service Service, model, id string) PromptPart {
	return PromptPart(shortened(string(service)) + "/" + shortened(model) + "/" + shortened(id))
}

// shortened returns a component of a name, or its digest if it is too long.
func shortened(component string) string {
	if len(component) <= maxComponentBytes {
		return component
	}
	return NewDigester("", component).Digest().String()
}
