"""Thin drivers on asyncio streams: they read, write and wait.

The meaning of bytes is defined in heronwinch.protocol, the decisions are made in heronwinch.policy.
"""
