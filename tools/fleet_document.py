"""What the settings of a local fleet name, and its stand-ins' arguments."""

import hashlib
from typing import Any

_ENGINE_FLAGS = (
    "slots",
    "prefill_tokens_per_s",
    "seconds_per_token",
    "export_ttl_s",
    "link_bytes_per_s",
    "kv_bytes_per_token",
)
_PLAIN = "plain"
# Stand-ins move this part of the bytes at this part of the rate: a transfer
# takes as long as at a real engine without a gigabyte through Python.
_BYTES_SCALE = 1 / 1024
_SCALED_FLAGS = frozenset({"link_bytes_per_s", "kv_bytes_per_token"})


def key_of(customer: str) -> str:
    """Returns the API key that a local fleet gives a customer."""
    return f"key-{customer.replace('/', '-')}"


def set_api_keys(users: dict[str, Any], parent: str = "") -> None:
    """Gives all users the keys of `key_of`.

    Args:
      users: Customers by name, as in the settings; changed in place.
      parent: Id of the customer that has them as children.
    """
    for name, customer in users.items():
        path = f"{parent}/{name}" if parent else name
        digest = hashlib.sha256(key_of(path).encode()).hexdigest()
        customer["key_hashes"] = [digest]
        set_api_keys(customer.get("users", {}), path)


def availability_zones(document: dict[str, Any]) -> list[str]:
    """Lists the availability zones that settings name, each once."""
    zones = []
    for pool in document["pools"].values():
        for endpoint in pool["endpoints"].values():
            zone = endpoint["availability_zone"]
            if zone not in zones:
                zones.append(zone)
    return zones


def endpoint_ids(document: dict[str, Any], *kinds: str) -> list[str]:
    """Lists the endpoints of some kinds."""
    ids = []
    for pool in document["pools"].values():
        defaults = pool.get("endpoint_defaults", {})
        for endpoint_id, endpoint in pool["endpoints"].items():
            if {**defaults, **endpoint}["kind"] in kinds:
                ids.append(endpoint_id)
    return ids


def standin_arguments(
    endpoint_id: str, fields: dict[str, Any], plain_call_s: float
) -> list[str]:
    """Returns the arguments of an endpoint's stand-in.

    Args:
      endpoint_id: The endpoint.
      fields: Its fields in the settings, with their defaults.
      plain_call_s: How long a plain service takes for a call.
    """
    if fields["kind"] == _PLAIN:
        arguments = ["service", "--id", endpoint_id]
        if fields.get("checks_idempotency_keys"):
            arguments.append("--checks-idempotency-keys")
        return [*arguments, "--seconds-per-call", str(plain_call_s)]
    arguments = ["engine", "--role", fields["kind"], "--id", endpoint_id]
    for flag in _ENGINE_FLAGS:
        if flag in fields:
            name = "--" + flag.replace("_", "-")
            arguments += [name, _scaled(flag, fields[flag])]
    if fields.get("checks_fencing"):
        arguments.append("--checks-fencing")
    return arguments


def _scaled(flag: str, value: float) -> str:
    scale = _BYTES_SCALE if flag in _SCALED_FLAGS else 1
    return str(type(value)(value * scale))
