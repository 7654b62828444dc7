"""Filter chain (middleware) that handles each request in order."""
