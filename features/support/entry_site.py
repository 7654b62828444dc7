"""Small fleet for the entry process features, with calls to the fleet."""

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
_DEFAULT_MAX_TOKENS = 60
_PROMPT_PHRASE = "a long case file "


def document() -> dict[str, Any]:
    """Returns settings with a single customer and few endpoints."""
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
    # Long enough to avoid evictions on a slow machine: these features don't
    # cover evictions.
    briefs = settings["pools"]["umurongo-briefs"]
    briefs["endpoint_defaults"]["export_ttl_s"] = 20.0
    return settings


class EntrySite:
    """Two VMs, each with one entry process.

    Attributes:
      fleet: The processes of the fleet.
      responses: Futures of the responses, in the order of the calls.
    """

    def __init__(self) -> None:
        self.fleet = local_fleet.LocalFleet(
            document(), drain_notice_s=1.0, plain_call_s=1.0
        )
        self._stack = contextlib.ExitStack()
        self._stack.enter_context(self.fleet)
        self._executor = self._stack.enter_context(
            concurrent.futures.ThreadPoolExecutor(64)
        )
        self.responses: list[
            concurrent.futures.Future[http_calls.HttpResponse]
        ] = []

    def start(self) -> None:
        """Starts the fleet and waits until it is ready."""
        self.fleet.start(vms=2)

    def close(self) -> None:
        """Ends all processes."""
        for process in self.fleet.children_by_name.values():
            process.end()
        self._stack.close()

    @property
    def entry(self) -> child.Child:
        """The entry process that the features signal and kill."""
        return self.fleet.children_by_name[ENTRY]

    def status(self) -> dict[str, Any]:
        """Returns the status that the entry process under test reports."""
        url = f"{self.fleet.peer_url('vm-0', 'e0')}/v1/status"
        return http_calls.call("GET", url).json()

    def call(
        self, path: str, body: Any, vm_id: str = "vm-0", **headers: str
    ) -> http_calls.HttpResponse:
        """Sends a request as a caller and waits for the complete response."""
        http_headers = {
            name.replace("_", "-"): text for name, text in headers.items()
        }
        key = fleet_document.api_key_of(USER)
        http_headers["Authorization"] = f"Bearer {key}"
        return http_calls.call(
            "POST", self.fleet.url(vm_id) + path, body, http_headers
        )

    def send(self, path: str, body: Any, **headers: str) -> None:
        """Sends a request in a thread and adds its future to `responses`."""
        self.responses.append(
            self._executor.submit(self.call, path, body, **headers)
        )

    def send_brief(
        self, phrase_count: int = 10, max_tokens: int = _DEFAULT_MAX_TOKENS
    ) -> None:
        """Requests a streamed brief in a thread."""
        prompt = f"{len(self.responses)} " + _PROMPT_PHRASE * phrase_count
        body = {
            "model": "brief",
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        self.send("/v1/completions", body)

    def set_faults(self, kind: str, **fields: Any) -> None:
        """Sets the faults of all endpoints of a kind; no fields clear them."""
        for endpoint_id in self.fleet.endpoint_ids(kind):
            self.fleet.standin(
                endpoint_id, "POST", "/standin/misbehave", fields
            )

    def running_requests(self, kind: str) -> list[dict[str, Any]]:
        """Returns the requests that the engines of a kind hold."""
        return [
            request
            for endpoint_id in self.fleet.endpoint_ids(kind)
            for request in self.fleet.standin(
                endpoint_id, "GET", "/v1/running"
            )["requests"]
        ]

    def decode_attempt_ids(self) -> list[str]:
        """Returns the ids of all attempts that the decode engines accepted."""
        return [
            entry["request_id"]
            for endpoint_id in self.fleet.endpoint_ids("decode")
            for entry in self.fleet.standin(
                endpoint_id, "GET", "/standin/journal"
            )["requests"]
        ]

    def booking_count(self) -> int:
        """Returns the number of bookings that the booking service made."""
        return sum(
            len(
                self.fleet.standin(endpoint_id, "GET", "/standin/journal")[
                    "ran"
                ]
            )
            for endpoint_id in self.fleet.endpoint_ids("plain")
        )

    def are_engines_leased(self) -> bool:
        """Returns whether the entry process has leased slots of every engine.

        Sends a short request first, which creates the demand for slots.
        """
        body = {"model": "brief", "prompt": "short", "max_tokens": 1}
        self.call("/v1/completions", body)
        url = f"{self.fleet.peer_url('vm-0', 'e0')}/metrics"
        text = http_calls.call("GET", url).body.decode()
        granted = re.findall(r'endpoint="([^"]+)",state="granted"} [1-9]', text)
        return set(granted) == set(self.fleet.endpoint_ids("prefill", "decode"))
