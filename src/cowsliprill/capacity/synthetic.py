"""Generates settings, VM lists and slot demands of a given size."""

import hashlib
import json
from typing import Any

from cowsliprill.decisions import messages
from cowsliprill.decisions import model

POOL = "pool"
PARENT = "parent"
ZONES = 10


def document(customers: int, services: int, engines: int) -> dict[str, Any]:
    """Returns a settings document with one pool and one parent customer.

    Args:
      customers: Number of child customers, each with one API key.
      services: Number of services of the parent customer.
      engines: Number of engines in the pool; every sixth is a prefill engine.

    Returns:
      The document as a JSON-compatible dict with `revision` 1.
    """
    customers = {f"customer-{n:05d}": customer(n) for n in range(customers)}
    service = {"kind": "model", "pool": POOL, "model": "standin"}
    return {
        "revision": 1,
        "published_by": "capacity",
        "users": {
            PARENT: {
                "services": {f"service-{n}": service for n in range(services)},
                "users": customers,
            }
        },
        "pools": {
            POOL: {
                "endpoint_defaults": {
                    "slots": 20,
                    "prefill_tokens_per_s": 8_000.0,
                    "seconds_per_token": 0.03,
                    "link_bytes_per_s": 1e9,
                    "kv_bytes_per_token": 131_072,
                    "checks_fencing": True,
                    "target": {"model": "standin", "version": "1"},
                },
                "endpoints": {
                    f"engine-{n:04d}": _engine(n) for n in range(engines)
                },
            }
        },
    }


def customer(number: int) -> dict[str, Any]:
    """Returns the settings of one child customer."""
    digest = hashlib.sha256(f"key-{number}".encode()).hexdigest()
    return {"key_hashes": [digest], "share": 1.0}


def _engine(number: int) -> dict[str, Any]:
    return {
        "kind": "prefill" if number % 6 == 0 else "decode",
        "host": f"10.{number // 250}.{number % 250}.10",
        "port": 8_001,
        "availability_zone": f"zone-{number % ZONES}",
        "vm": f"engine-{number:04d}-vm",
    }


def document_text(customers: int, services: int, engines: int) -> str:
    """Returns the result of `document` as JSON text."""
    return json.dumps(document(customers, services, engines))


def vms(count: int) -> list[model.Vm]:
    """Returns a list of entry VMs, spread over `ZONES` availability zones."""
    return [
        model.Vm(
            id=f"vm-{number:04d}",
            host=f"10.200.{number // 250}.{number % 250}",
            availability_zone=f"zone-{number % ZONES}",
            role=model.VmRole.ENTRY,
            settings_port=7_000,
            dispatch_port=7_001,
            entry_ports=(7_010, 7_011),
        )
        for number in range(count)
    ]


def slot_demand(
    endpoint_id: str, in_use: int, sequence: int
) -> messages.SlotDemand:
    """Returns an entry process's slot demand for one endpoint.

    Args:
      endpoint_id: The endpoint.
      in_use: Running requests, each of its own customer; one more request
        waits.
      sequence: Sequence number of the demand.
    """
    customers = [f"{PARENT}/customer-{n:05d}" for n in range(in_use + 1)]
    return messages.SlotDemand(
        endpoint_id=endpoint_id,
        in_use=in_use,
        want=in_use + 1,
        priority=1,
        deadline_in_s=0.75,
        customer_wants=((customers[-1], 1),),
        customer_in_use=tuple((name, 1) for name in customers[:-1]),
        held=in_use,
        sequence=sequence,
    )
