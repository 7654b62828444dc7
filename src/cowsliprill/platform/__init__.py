"""The users' platform: its names on the wire, and nothing else.

This folder translates between the platform's protocol and the product's
types. It decides nothing and keeps no state.
"""
