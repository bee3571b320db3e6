package dogwoodadmission

// Class is a prompt size class. Service times are estimated separately for each class.
type Class int

// Classes is the number of size classes.
const Classes = 7

// classBounds are the upper bounds of all classes but the last, in prompt tokens. They are
// the lengths by which first-token times are reported, each about four times the previous.
var classBounds = [Classes - 1]int{1_000, 4_000, 16_000, 64_000, 256_000, 1_000_000}

// ClassOf returns the size class of a prompt with the given number of tokens.
func ClassOf(promptTokens int) Class {
	for i, bound := range classBounds {
		if promptTokens <= bound {
			return Class(i)
		}
	}
	return Classes - 1
}

// Long reports whether the class belongs to the band of long prompts: those of more than 64,000
// tokens. In the planned load one prompt in fifty is over 100,000 tokens; this bound puts those,
// and not the ordinary prompts, into the long band.
func (class Class) Long() bool {
	return class > 3
}

// Cost returns what a request is charged in fair queueing: engine time, expressed in
// prompt tokens.
func Cost(promptTokens, outputTokens int) float64 {
	return float64(max(promptTokens, 1)) + DecodeCost*float64(outputTokens)
}
