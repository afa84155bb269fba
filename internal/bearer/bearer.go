// Package bearer extracts a client account's key from a request, so that the key is not
// forwarded to backend servers.
//
// # Usage
//
//	key, stripped := bearer.Extract(route, request)
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

// Request holds the parts of a request that may contain the key: the request target with
// its query, and the header.
type Request struct {
	Target string
	Header map[string][]string
}

const (
	authorization = "Authorization"
	cookieHeader  = "Cookie"
	scheme        = "bearer "
)

// Extract returns the key, or "" if there is none, and a copy of the request without the
// Authorization header and the query parameter and cookie that the route names for keys. A
// key in the header takes precedence over one in the query, and that over one in a cookie.
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

// HashOf returns the SHA-256 hash in hexadecimal, the form in which settings hold a key or
// a credential.
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

// extractHeader returns the bearer token and removes the Authorization header, whatever its
// scheme: credentials for this system don't concern backend servers.
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

// extractQuery returns the value of the parameter and the target without it. All other
// bytes of the target are unchanged.
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

// extractCookie returns the value of the cookie and removes it from all Cookie headers.
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
