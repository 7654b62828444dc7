"""Settings document of a local fleet: API keys, endpoints, stand-in flags."""

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
# Scales both the KV cache size and the link rate of stand-ins, so a transfer
# takes as long as on a real engine without copying gigabytes in Python.
_BYTES_SCALE = 1 / 1024
_SCALED_FLAGS = frozenset({"link_bytes_per_s", "kv_bytes_per_token"})


def api_key_of(customer: str) -> str:
    """Returns the API key that a local fleet gives a customer."""
    return f"key-{customer.replace('/', '-')}"


def set_api_keys(users: dict[str, Any], parent: str = "") -> None:
    """Sets the key hash of each customer to that of its `api_key_of` key.

    Args:
      users: Customers by name, as in the settings; modified in place.
      parent: ID of the parent customer; empty at the top level.
    """
    for name, customer in users.items():
        path = f"{parent}/{name}" if parent else name
        digest = hashlib.sha256(api_key_of(path).encode()).hexdigest()
        customer["key_hashes"] = [digest]
        set_api_keys(customer.get("users", {}), path)


def availability_zones(document: dict[str, Any]) -> list[str]:
    """Lists the distinct availability zones of all endpoints."""
    zones = []
    for pool in document["pools"].values():
        for endpoint in pool["endpoints"].values():
            zone = endpoint["availability_zone"]
            if zone not in zones:
                zones.append(zone)
    return zones


def endpoint_ids(document: dict[str, Any], *kinds: str) -> list[str]:
    """Lists the IDs of all endpoints of the given kinds."""
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
    """Returns the command-line arguments of an endpoint's stand-in.

    Args:
      endpoint_id: ID of the endpoint.
      fields: The endpoint's settings, with the pool's defaults applied.
      plain_call_s: Duration of a call to a plain service in seconds.
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
