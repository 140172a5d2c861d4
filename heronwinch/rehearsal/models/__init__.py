"""Models, without I/O, of what surrounds a dispatcher: workers, traffic, discovery.

The caller passes in the time and a random generator.
"""
