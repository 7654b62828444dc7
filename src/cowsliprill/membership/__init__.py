"""Cluster membership: gossip over UDP between the processes of all VMs."""
