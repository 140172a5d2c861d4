"""The write-ahead log of a dispatcher: work that must not run twice is recorded before it is handed off, so
that a loss of power breaks no promise to a client. Holds the records, the state that they add up to, the
measure of the downtime, and the store on disk. Used only with the section `ledger` in the configuration."""
