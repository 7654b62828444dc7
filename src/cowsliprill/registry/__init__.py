"""Settings and endpoints from a store of keys that is only read."""
