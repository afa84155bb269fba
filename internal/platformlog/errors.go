package platformlog

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("platformlog")

// NotAppended is the type of errors after which the record is certainly not on the
// log. After any other error of Append it may be.
var NotAppended = namespace.NewType("not_appended")

// IsNotAppended reports whether err proves that the record is not on the log.
func IsNotAppended(err error) bool { return errorx.IsOfType(err, NotAppended) }
