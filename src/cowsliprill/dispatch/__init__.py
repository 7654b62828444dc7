"""The process that is home to endpoints."""
