"""The order in which service resumes after a loss of power. No I/O; used only with the section `ledger`."""
