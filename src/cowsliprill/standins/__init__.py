"""Small stand-ins of the platform, the engines and the plain services."""
