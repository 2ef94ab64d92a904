package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Limits of requests.
const (
	maxBodyBytes     = 64 << 10
	maxSnapshotBytes = 256 << 20
	maxNoticeBytes   = 1 << 20
	maxIDBytes       = 200 // longest id or name
)

// decodeBody decodes a JSON body into v. If the body is too long or invalid, it responds
// with 413 or 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	text, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		writeError(w, http.StatusBadRequest, "body: %v", err)
		return false
	}
	if len(text) > maxBodyBytes {
		writeError(w, http.StatusRequestEntityTooLarge, "body: over %d bytes", maxBodyBytes)
		return false
	}
	err = json.Unmarshal(text, v)
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType):
		writeError(w, http.StatusBadRequest, "%s: wrong type %s", wrongType.Field, wrongType.Value)
	case err != nil:
		writeError(w, http.StatusBadRequest, "body: %v", err)
	}
	return err == nil
}

// fence is the role and the token in a request's FenceHeader. The zero value stands for a
// request without the header.
type fence struct {
	role  string
	token int64
}

func readFence(r *http.Request) (fence, error) {
	text := r.Header.Get(FenceHeader)
	if text == "" {
		return fence{}, nil
	}
	role, tokenText, ok := strings.Cut(text, "=")
	token, err := strconv.ParseInt(tokenText, 10, 64)
	if !ok || err != nil || role == "" {
		return fence{}, fmt.Errorf("%s: %q; NAME=TOKEN is wanted", FenceHeader, text)
	}
	return fence{role, token}, nil
}

// queryInt returns the value of a non-negative decimal query parameter, or 0 if the
// request doesn't have it.
func queryInt(r *http.Request, name string) (int64, error) {
	return strconv.ParseInt("0"+r.URL.Query().Get(name), 10, 64)
}
