"""A small fleet for the entry's features, and its callers."""

import concurrent.futures
import contextlib
import copy
import re
from typing import Any

from tools import child
from tools import fleet_document
from tools import http_calls
from tools import local_fleet
from tools import small_site

USER = "umurongo/firm-1"
ENTRY = "vm-0.e0"
_TOKENS = 60
_WORDS = "a long case file "


def document() -> dict[str, Any]:
    """Returns the settings of one customer with few endpoints."""
    settings = copy.deepcopy(small_site.document())
    del settings["users"]["zarqa-lane"]
    for name in list(settings["pools"]):
        if not name.startswith("umurongo"):
            del settings["pools"][name]
    brief = settings["users"]["umurongo"]["services"]["brief"]
    brief["may_wait_s"] = 20.0
    brief["ttft_target_s"] = 20.0
    booking = settings["users"]["umurongo"]["services"]["booking"]
    booking["timeout_s"] = 4.0
    # Evictions are another feature's matter; a busy machine would cause them.
    briefs = settings["pools"]["umurongo-briefs"]
    briefs["endpoint_defaults"]["export_ttl_s"] = 20.0
    return settings


class EntrySite:
    """Two VMs, each with one entry process.

    Attributes:
      fleet: The processes.
      answers: Answers to come, in order of the calls.
    """

    def __init__(self) -> None:
        self.fleet = local_fleet.LocalFleet(
            document(), drain_notice_s=1.0, plain_call_s=1.0
        )
        self._stack = contextlib.ExitStack()
        self._stack.enter_context(self.fleet)
        self._pool = self._stack.enter_context(
            concurrent.futures.ThreadPoolExecutor(64)
        )
        self.answers: list[
            concurrent.futures.Future[http_calls.HttpResponse]
        ] = []

    def start(self) -> None:
        """Starts everything and waits until it is ready."""
        self.fleet.start(vms=2)

    def close(self) -> None:
        """Ends everything."""
        for process in self.fleet.children_by_name.values():
            process.end()
        self._stack.close()

    @property
    def entry(self) -> child.Child:
        """The process that is disturbed."""
        return self.fleet.children_by_name[ENTRY]

    def status(self) -> dict[str, Any]:
        """Returns what the disturbed process says of itself."""
        url = f"{self.fleet.peer_url('vm-0', 'e0')}/v1/status"
        return http_calls.call("GET", url).json()

    def call(
        self, path: str, body: Any, vm_id: str = "vm-0", **headers: str
    ) -> http_calls.HttpResponse:
        """Calls as a caller does and waits for the whole answer."""
        names = {name.replace("_", "-"): text for name, text in headers.items()}
        key = fleet_document.api_key_of(USER)
        names["Authorization"] = f"Bearer {key}"
        return http_calls.call(
            "POST", self.fleet.url(vm_id) + path, body, names
        )

    def send(self, path: str, body: Any, **headers: str) -> None:
        """Calls without waiting; the answer goes to `answers`."""
        self.answers.append(self._pool.submit(self.call, path, body, **headers))

    def send_brief(self, words: int = 10, tokens: int = _TOKENS) -> None:
        """Asks for a streamed brief without waiting."""
        prompt = f"{len(self.answers)} " + _WORDS * words
        body = {
            "model": "brief",
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": True,
        }
        self.send("/v1/completions", body)

    def misbehave(self, kind: str, **fields: Any) -> None:
        """Has all endpoints of a kind misbehave, or behave again."""
        for endpoint_id in self.fleet.endpoint_ids(kind):
            self.fleet.standin(
                endpoint_id, "POST", "/standin/misbehave", fields
            )

    def running(self, kind: str) -> list[dict[str, Any]]:
        """Lists what the engines of a kind hold."""
        return [
            request
            for endpoint_id in self.fleet.endpoint_ids(kind)
            for request in self.fleet.standin(
                endpoint_id, "GET", "/v1/running"
            )["requests"]
        ]

    def decoded(self) -> list[str]:
        """Lists the ids of all attempts that the decode engines took."""
        return [
            entry["request_id"]
            for endpoint_id in self.fleet.endpoint_ids("decode")
            for entry in self.fleet.standin(
                endpoint_id, "GET", "/standin/journal"
            )["requests"]
        ]

    def bookings(self) -> int:
        """Counts what the desk has booked."""
        return sum(
            len(
                self.fleet.standin(endpoint_id, "GET", "/standin/journal")[
                    "ran"
                ]
            )
            for endpoint_id in self.fleet.endpoint_ids("plain")
        )

    def is_leased(self) -> bool:
        """Asks for a short brief; returns whether all engines are leased."""
        body = {"model": "brief", "prompt": "short", "max_tokens": 1}
        self.call("/v1/completions", body)
        url = f"{self.fleet.peer_url('vm-0', 'e0')}/metrics"
        text = http_calls.call("GET", url).body.decode()
        granted = re.findall(r'endpoint="([^"]+)",state="granted"} [1-9]', text)
        return set(granted) == set(self.fleet.endpoint_ids("prefill", "decode"))
