"""Settings: their tree, their checks, and the process that reads them."""
