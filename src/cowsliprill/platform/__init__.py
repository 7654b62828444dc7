"""Adapters for the hosting platform's wire protocol.

The modules of this package translate between the platform's messages and the
router's types. They make no decisions and keep no state.
"""
