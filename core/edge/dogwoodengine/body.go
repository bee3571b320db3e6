package dogwoodengine

import (
	"bytes"
	"encoding/json"
)

// streamingBody returns the caller's body with the fields set that request a stream and the
// token counts. The other fields stay raw JSON, so a long prompt is not decoded.
func streamingBody(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, Error.New("request body: %v", err)
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	var buffer bytes.Buffer
	buffer.Grow(len(body) + 64)
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(fields); err != nil {
		return nil, Error.New("request body: %v", err)
	}
	return buffer.Bytes(), nil
}

type errorBody struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// errorCode returns the code in the data of an error event, or "" if there is none.
func errorCode(data string) string {
	var body errorBody
	if err := json.Unmarshal([]byte(data), &body); err != nil {
		return ""
	}
	return body.Error.Code
}
