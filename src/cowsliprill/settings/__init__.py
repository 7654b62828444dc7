"""Settings: schema, validation, and the process that distributes them."""
