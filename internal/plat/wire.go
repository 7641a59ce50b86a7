package plat

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/juju/errors"
)

// defaultWire is the HTTP format of the object API that internal/store serves.
var defaultWire = Wire{Encode: encodeOp, Decode: decodeResponse}

func encodeOp(o Op) (Call, error) {
	c := Call{Method: http.MethodGet, Target: "/v1/objects/" + string(o.Kind)}
	if o.Name != "" {
		c.Target += "/" + url.PathEscape(o.Name)
	}
	switch o.Verb {
	case WatchVerb:
		c.Target += fmt.Sprintf("?watch=1&since=%d&waitMillis=%d", o.Since, o.Wait.Milliseconds())
	case PutVerb:
		c.Method, c.Header, c.Body = http.MethodPut, condition(o.Current), o.Value
	case DeleteVerb:
		c.Method, c.Header = http.MethodDelete, condition(o.Current)
	}
	return c, nil
}

// condition returns the header that makes a write conditional on a version.
func condition(v Version) http.Header {
	h := http.Header{}
	if v == 0 {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(v), 10)))
	}
	return h
}

func decodeResponse(o Op, a Answer) (List, string, error) {
	l, err := decodeList(o, a)
	return l, "", err
}

func decodeList(o Op, a Answer) (List, error) {
	switch a.Status {
	case http.StatusOK, http.StatusCreated:
		if o.Verb == ListVerb || o.Verb == WatchVerb {
			return parseList(a.Body)
		}
		var v Object
		if err := json.Unmarshal(a.Body, &v); err != nil {
			return List{}, errors.Trace(err)
		}
		return List{Version: v.Version, Objects: []Object{v}}, nil
	case http.StatusNoContent:
		return List{}, nil
	case http.StatusNotFound:
		return List{}, &NotFoundError{o.Kind, o.Name}
	case http.StatusGone:
		return List{}, &GoneError{}
	case http.StatusPreconditionFailed:
		v, _ := strconv.Unquote(a.Header.Get("ETag"))
		n, _ := strconv.ParseUint(v, 10, 64)
		return List{}, &ConflictError{Kind: o.Kind, Name: o.Name, Current: Version(n)}
	}
	return List{}, &StatusError{a.Status, o.Kind, o.Name}
}

// parseList decodes the response to a list or watch call. It rejects objects
// without a name or with a version that is zero or above that of the list.
func parseList(b []byte) (List, error) {
	var l List
	if err := json.Unmarshal(b, &l); err != nil {
		return List{}, errors.Trace(err)
	}
	for _, o := range l.Objects {
		if o.Name == "" || o.Version == 0 || o.Version > l.Version {
			return List{}, errors.Errorf("platform returned object %q of version %d in a list of version %d", o.Name, o.Version, l.Version)
		}
	}
	return l, nil
}
