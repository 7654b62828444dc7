"""The process that serves callers."""
