package event

// Events 120 to 129: certificates.
var (
	CertificateRenewed = define(120, "renewed", "The daemon read a changed certificate; new connections use it.")
	CertificateUnread  = define(121, "unread", "A changed certificate can't be used; the daemon keeps the one before.")
	CertificateEnds    = define(122, "expiry", "A certificate ends in less than 14 days, or has ended. Said once a day.")
)
