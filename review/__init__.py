"""Cases of the independent review, and the stand-ins that they start.

The modules stand_in_* play the platform, its engines and clients, with the
standard library only. They speak what PROTOCOL.md says of the store, of the
engines and of clients; where it is silent they behave as a sound peer does.
"""
