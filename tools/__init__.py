"""Developer tools: checks, the demonstration and the benchmark."""
