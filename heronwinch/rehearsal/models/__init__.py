"""What stands outside a dispatcher, as models without I/O: time is passed in, chance comes from a given
source."""
