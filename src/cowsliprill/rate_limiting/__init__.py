"""Request rate limits that endpoints name, kept by all VMs together."""
