"""Connects heronwinch.policy to the simulator's binary protocol. Only this package knows that protocol."""
