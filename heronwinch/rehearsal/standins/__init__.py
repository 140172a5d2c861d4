"""The models on connections: drivers that speak the operators' protocol, on loopback sockets or the virtual
ground alike. They decide nothing."""
