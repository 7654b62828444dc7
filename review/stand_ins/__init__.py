"""Stand-ins of the platform, its engines and clients for the review's cases.

Standard library only. They speak what PROTOCOL.md says of the store, of the
engines and of clients; where it is silent they behave as a sound peer does.
"""
