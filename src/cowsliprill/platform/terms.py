"""Translates the parts of the platform's rules in force to switches."""

from collections.abc import Collection

# Callers compete for too little capacity, and engines admit by priority.
_OVERLOAD = "pressure"


def controls_overload(terms: Collection[str]) -> bool:
    """Returns whether the overload ranking is to be used.

    Args:
      terms: Names of the parts in force; unknown ones have no effect.
    """
    return _OVERLOAD in terms
