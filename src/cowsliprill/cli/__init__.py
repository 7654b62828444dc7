"""Command line for operators: settings checks and diagnosis of running VMs."""
