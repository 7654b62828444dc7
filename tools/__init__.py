"""Developer tools: test runner, checks, local fleet, demo and benchmark."""
