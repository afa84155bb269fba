package event

// Events 120 to 129: certificates.
var (
	CertificateRenewed  = define(120, "renewed", "The daemon reloaded a changed certificate; new connections use it.")
	CertificateInvalid  = define(121, "unread", "A changed certificate is not usable; the daemon keeps the previous one.")
	CertificateExpiring = define(122, "expiry", "A certificate expires in less than 14 days, or has expired. Logged once a day.")
)
