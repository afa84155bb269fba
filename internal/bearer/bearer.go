// Package bearer takes a client account's key out of a request, so that no
// backend server sees it.
//
// # Usage
//
//	key, rest := bearer.Take(route, request)
package bearer

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net/textproto"
	"net/url"
	"strings"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// Request holds the parts of a request that may carry the key.
type Request struct {
	Target string
	Header map[string][]string
}

const (
	authorization = "Authorization"
	cookieHeader  = "Cookie"
	scheme        = "bearer "
)

// Take returns the key, or "", and the request without any copy of it. The
// header's key goes before the query's, and that before the cookie's.
func Extract(route settings.Route, r Request) (string, Request) {
	stripped := Request{Target: r.Target, Header: maps.Clone(r.Header)}
	if stripped.Header == nil {
		stripped.Header = map[string][]string{}
	}
	key := extractHeader(stripped.Header)
	if route.Query != "" {
		var found string
		found, stripped.Target = extractQuery(stripped.Target, route.Query)
		key = firstNonEmpty(key, found)
	}
	if route.Cookie != "" {
		key = firstNonEmpty(key, extractCookie(stripped.Header, route.Cookie))
	}
	return key, stripped
}

// HashOf returns the form in which settings hold a key or a credential.
func HashOf(secret string) ids.Hash {
	sum := sha256.Sum256([]byte(secret))
	return ids.Hash(hex.EncodeToString(sum[:]))
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// takeHeader removes every Authorization value, of whatever scheme: what the
// callers present to this system does not concern backend servers.
func extractHeader(h map[string][]string) string {
	key := ""
	for _, v := range h[authorization] {
		if len(v) > len(scheme) && strings.EqualFold(v[:len(scheme)], scheme) {
			key = firstNonEmpty(key, strings.TrimSpace(v[len(scheme):]))
		}
	}
	delete(h, authorization)
	return key
}

// takeQuery removes the parameter and leaves every other byte as it was.
func extractQuery(target, name string) (string, string) {
	path, query, ok := strings.Cut(target, "?")
	if !ok {
		return "", target
	}
	key := ""
	var others []string
	for part := range strings.SplitSeq(query, "&") {
		rawName, rawValue, _ := strings.Cut(part, "=")
		decoded, err := url.QueryUnescape(rawName)
		if err != nil || decoded != name {
			others = append(others, part)
			continue
		}
		if value, err := url.QueryUnescape(rawValue); err == nil {
			key = firstNonEmpty(key, value)
		}
	}
	if len(others) == 0 {
		return key, path
	}
	return key, path + "?" + strings.Join(others, "&")
}

// takeCookie removes the cookie from all Cookie headers.
func extractCookie(h map[string][]string, name string) string {
	key := ""
	var others []string
	for _, line := range h[cookieHeader] {
		for pair := range strings.SplitSeq(line, ";") {
			pair = textproto.TrimString(pair)
			n, v, _ := strings.Cut(pair, "=")
			if textproto.TrimString(n) == name {
				key = firstNonEmpty(key, strings.Trim(v, `"`))
				continue
			}
			if pair != "" {
				others = append(others, pair)
			}
		}
	}
	if len(others) == 0 {
		delete(h, cookieHeader)
		return key
	}
	h[cookieHeader] = []string{strings.Join(others, "; ")}
	return key
}
