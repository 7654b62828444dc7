"""Endpoints that say in their answers that they leave or want a pause."""
