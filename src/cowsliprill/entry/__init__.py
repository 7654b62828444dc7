"""The entry process: the HTTP front end that callers send requests to."""
