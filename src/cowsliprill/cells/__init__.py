"""Placement of requests at the homes of pools."""
