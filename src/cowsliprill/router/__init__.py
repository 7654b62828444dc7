"""One process that is a whole VM: entry, home of engines and settings."""
