"""What a dispatcher writes down so that a loss of power costs no rule: records, the book that they add up to,
how far it is trusted afterwards, and the store that holds them. Off without the section `ledger`."""
