package gatekeeper

import (
	"net/url"

	"balsamwharf.example/balsamwharf/internal/call"
)

// opaqueURL returns a URL that is sent as the request target byte for byte as the
// caller wrote it.
func opaqueURL(head call.Head) *url.URL {
	return &url.URL{Scheme: "http", Host: head.Host, Opaque: head.Target}
}
