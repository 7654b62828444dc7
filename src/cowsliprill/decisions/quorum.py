"""What an owner of a shared rate may hand out during a network partition."""

# An owner that can reach no more than this fraction of the fleet hands out only
# as large a fraction of each rate: the other VMs may be alive and use the rest.
_QUORUM_FRACTION = 0.5


def usable_fraction(reachable_fraction: float) -> float:
    """Returns the fraction of a shared rate that its owner may hand out.

    Args:
      reachable_fraction: Fraction of the known VMs that the owner can reach,
        from 0 to 1.
    """
    if reachable_fraction > _QUORUM_FRACTION:
        return 1.0
    return reachable_fraction
