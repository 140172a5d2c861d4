"""The simulator's wire before the decisions of heronwinch.policy: the only place that knows the wire's words."""
