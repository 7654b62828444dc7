"""HTTP clients for inference engines and plain services."""
