"""Reduced example settings for tests that start real processes."""

import json
import pathlib
from typing import Any

_EXAMPLE = pathlib.Path("examples/both.json")
_MAX_ENDPOINTS_BY_KIND = {"prefill": 1, "decode": 2, "plain": 2}
_SECONDS_PER_TOKEN = 0.01


def document() -> dict[str, Any]:
    """Returns the example settings with fewer endpoints and faster decoding."""
    settings = json.loads(_EXAMPLE.read_text(encoding="utf-8"))
    for pool in settings["pools"].values():
        pool["endpoints"] = _limit_endpoints(pool["endpoints"])
    return settings


def _limit_endpoints(endpoints_by_id: dict[str, Any]) -> dict[str, Any]:
    kept_count_by_kind: dict[str, int] = {}
    kept = {}
    for endpoint_id, endpoint in endpoints_by_id.items():
        kind = endpoint.get("kind", "plain")
        kept_count = kept_count_by_kind.get(kind, 0)
        if kept_count >= _MAX_ENDPOINTS_BY_KIND[kind]:
            continue
        kept_count_by_kind[kind] = kept_count + 1
        if kind == "decode":
            endpoint["seconds_per_token"] = _SECONDS_PER_TOKEN
        kept[endpoint_id] = endpoint
    return kept
