"""Protocol by which pool coordinators schedule requests for entry processes."""
