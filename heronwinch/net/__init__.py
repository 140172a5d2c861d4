"""Thin drivers on asyncio streams: they read, write and wait. What bytes mean is heronwinch.protocol's affair,
what is done about it heronwinch.policy's.
"""
