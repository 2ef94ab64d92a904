package registry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a client that cannot tell responses apart: each response of a node, a rejection and a
// redirect too, names the request that it answers, unless the id is too long.
func TestResponseNamesItsRequest(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusTemporaryRedirect} {
		handler := nameRequest(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		for id, want := range map[string]string{"q1": "q1", "": "", strings.Repeat("x", maxIDBytes+1): ""} {
			req := httptest.NewRequest(http.MethodPost, "/", nil)
			req.Header.Set(RequestHeader, id)
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, req)
			if got := recorder.Header().Get(RequestHeader); got != want {
				t.Errorf("status %d, request %.10q: response names %q, want %q", status, id, got, want)
			}
		}
	}
}
