"""Combines the priorities of a customer and of a service into one.

Load pattern: a customer with a priority of its own floods a pool with routine
requests. If its priority replaced that of the service, its urgent requests
would be no more urgent than its routine ones.
"""

# Levels of service priorities between two priorities of customers. Service
# priorities range from -100 to 100, and callers may lower theirs.
_SERVICE_LEVELS = 2_048
_SERVICE_PRIORITY_MAX = _SERVICE_LEVELS // 2 - 1

# Levels of urgency between two priorities of customers that engines are told.
_ENGINE_LEVELS = 3


def combine(service_priority: int, customer_priority: int | None) -> int:
    """Returns the priority of a request; higher is more urgent.

    Requests of customers with different priorities rank by these alone, others
    by their services.

    Args:
      service_priority: Priority of the service.
      customer_priority: Priority of the customer, None if it has none. It then
        counts as that of the service.
    """
    within = max(
        min(service_priority, _SERVICE_PRIORITY_MAX), -_SERVICE_PRIORITY_MAX
    )
    if customer_priority is None:
        customer_priority = within
    return customer_priority * _SERVICE_LEVELS + within


def urgency(priority: int) -> int:
    """Returns a few levels of a combined priority; 0 is the most urgent.

    Args:
      priority: A priority that `combine` has returned.
    """
    customer_priority = round(priority / _SERVICE_LEVELS)
    within = priority - customer_priority * _SERVICE_LEVELS
    level = min(max(-within, 0), _ENGINE_LEVELS - 1)
    return max(-customer_priority, 0) * _ENGINE_LEVELS + level
