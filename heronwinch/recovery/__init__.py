"""The order in which service returns after a loss of power. No I/O; off without the section `ledger`."""
