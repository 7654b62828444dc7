"""Replay of traces through the decision code in virtual time."""
