"""How processes of different VMs find each other."""
