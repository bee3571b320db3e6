package dogwoodfleet

// PromptPart names a part of a prompt, which other requests may have too. Equal names mean equal content for one model of
// a service.
type PromptPart string

// MaxPromptParts bounds the parts of a prompt that are distinguished.
const MaxPromptParts = 64

// maxPartNameBytes bounds the name of a part.
const maxPartNameBytes = 128

// NewPromptPart returns the name of a part by its ID, for one model of a service. An ID that is too long is replaced by its
// digest.
func NewPromptPart(service Service, model, id string) PromptPart {
	name := string(service) + "/" + model + "/" + id
	if len(name) > maxPartNameBytes {
		return PromptPart(NewDigester("", string(service), model, id).Digest().String())
	}
	return PromptPart(name)
}
