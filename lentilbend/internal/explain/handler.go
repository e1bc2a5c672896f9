package explain

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"

	"lentilbend.example/lentilbend/internal/filter/route"
)

// Parameters of the query.
const (
	// ParamMethod and ParamURL are the request to be explained.
	ParamMethod = "method"
	ParamURL    = "url"
	// ParamFormat is FormatText or FormatJSON, which is the default.
	ParamFormat = "format"
	FormatText  = "text"
	FormatJSON  = "json"
)

// ServeHTTP answers with the explanation of the request in the query. The status is 404 if
// there is no such route, 400 if the request would be refused as malformed, and 503 while
// the VM has no table.
func (e *Explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	u, err := url.Parse(q.Get(ParamURL))
	if err != nil || q.Get(ParamMethod) == "" {
		// The error of url.Parse contains the URL, in which a key may stand.
		http.Error(w, "explain: the method is missing or the URL is malformed", http.StatusBadRequest)
		return
	}
	x, err := e.Explain(q.Get(ParamMethod), u)
	if err != nil {
		http.Error(w, err.Error(), errorStatus(err))
		return
	}
	var b bytes.Buffer
	t := "application/json"
	if q.Get(ParamFormat) == FormatText {
		t = "text/plain; charset=utf-8"
		err = x.WriteText(&b)
	} else {
		c := json.NewEncoder(&b)
		c.SetIndent("", "  ")
		err = c.Encode(x)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", t)
	_, _ = w.Write(b.Bytes())
}

func errorStatus(err error) int {
	switch {
	case errors.Is(err, route.ErrNoRoute):
		return http.StatusNotFound
	case errors.Is(err, ErrNoTable):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}
