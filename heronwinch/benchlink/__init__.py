"""The simulator's wire before the decisions of heronwinch.policy: the only place with its words."""
