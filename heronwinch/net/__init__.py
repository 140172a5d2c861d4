"""Thin drivers on asyncio streams: they read, write and wait. What bytes mean is settled in
heronwinch.protocol, what is done about it in heronwinch.policy.
"""
