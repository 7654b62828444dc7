"""Fair admission of calls to plain pools under overload."""
