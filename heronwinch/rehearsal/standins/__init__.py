"""Stand-ins (test doubles) for clients, workers and discovery. They connect the models to the operators'
protocol, on loopback sockets and in the simulation alike; all decisions are the models'."""
