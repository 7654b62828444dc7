"""Demonstration that `make run` and `make up` start.

Starts the endpoint stand-ins and the processes of one VM. `run` sends example
requests of two customers, prints each result and stops all processes; `up`
keeps the processes running until it is interrupted.
"""

import dataclasses
import json
import pathlib
import signal
import sys
import time
from collections.abc import Callable

from cowsliprill import errors
from tools import child
from tools import fleet_document
from tools import http_calls
from tools import local_fleet

_EXAMPLE = pathlib.Path("examples/both.json")
_BRIEF_USER = "umurongo/firm-1"
_SUMMARY_USER = "zarqa-lane"
_CASE_FILE = "The client owes three lenders and has kept every receipt. " * 250
_MANIFEST = "Bag 114, blue, from Aqaba to Petra, fragile, by noon. " * 200
_MAX_TOKENS = 40
_MAX_SHOWN_CHARACTERS = 60


class DemoError(Exception):
    """Raised when an example request has an unexpected result."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Site:
    url: str

    def headers(self, customer: str, **extra_headers: str) -> dict[str, str]:
        key = fleet_document.api_key_of(customer)
        return {"Authorization": f"Bearer {key}", **extra_headers}


def _expect_status(response: http_calls.HttpResponse, status: int) -> None:
    if response.status != status:
        raise DemoError(f"status {response.status}: {response.body.decode()}")


def _completion_text(events: list[bytes]) -> str:
    texts = []
    for event in events:
        data = event.partition(b"data: ")[2]
        if data.startswith(b"{"):
            chunk = json.loads(data)
            texts.extend(choice["text"] for choice in chunk["choices"])
    return "".join(texts)


def _long_brief(site: _Site) -> str:
    body = {
        "model": "brief",
        "prompt": _CASE_FILE,
        "max_tokens": _MAX_TOKENS,
        "stream": True,
    }
    start = time.monotonic()
    stream = http_calls.open_stream(
        f"{site.url}/v1/completions", body, site.headers(_BRIEF_USER)
    )
    events = []
    ttft_s = 0.0
    for event in stream.events():
        ttft_s = ttft_s or time.monotonic() - start
        events.append(event)
    if not events or not events[-1].endswith(b"data: [DONE]"):
        raise DemoError(f"status {stream.status}, the stream has no end")
    text = _completion_text(events)[:_MAX_SHOWN_CHARACTERS]
    return (
        f"{len(_CASE_FILE):,} characters read, first token after "
        f"{ttft_s * 1000:.0f} ms, whole answer streamed: {text!r}..."
    )


def _booking_and_retry(site: _Site) -> str:
    headers = site.headers(_BRIEF_USER)
    ticket_response = http_calls.call(
        "POST", f"{site.url}/v1/tickets", {"service": "booking"}, headers
    )
    _expect_status(ticket_response, 201)
    key = ticket_response.json()["ticket"]
    headers["Idempotency-Key"] = key
    appointment = {"client": "C-17", "adviser": "A-3", "at": "2026-12-03T09:00"}
    url = f"{site.url}/services/booking/appointments"
    first_response = http_calls.call("POST", url, appointment, headers)
    _expect_status(first_response, 200)
    retry = http_calls.call("POST", url, appointment, headers)
    _expect_status(retry, 200)
    if retry.headers.get("idempotent-replayed") != "true":
        raise DemoError("the retry was not answered from the first run")
    if retry.body != first_response.body:
        raise DemoError("the retry got another answer than the first")
    return "booked once; the retry got the same answer, marked as replayed"


def _lookup(site: _Site) -> str:
    url = f"{site.url}/services/lookup/bags/114"
    response = http_calls.call("GET", url, None, site.headers(_SUMMARY_USER))
    _expect_status(response, 200)
    return f"answered: {response.body.decode()[:_MAX_SHOWN_CHARACTERS]}"


def _summary(site: _Site) -> str:
    body = {"model": "summary", "prompt": _MANIFEST, "max_tokens": _MAX_TOKENS}
    response = http_calls.call(
        "POST",
        f"{site.url}/v1/completions",
        body,
        site.headers(_SUMMARY_USER),
    )
    _expect_status(response, 200)
    usage = response.json()["usage"]
    text = response.json()["choices"][0]["text"][:_MAX_SHOWN_CHARACTERS]
    return f"{usage['completion_tokens']} tokens in one answer: {text!r}..."


def _other_customers_service(site: _Site) -> str:
    body = {"model": "brief", "prompt": "hello", "max_tokens": 1}
    response = http_calls.call(
        "POST",
        f"{site.url}/v1/completions",
        body,
        site.headers(_SUMMARY_USER),
    )
    _expect_status(response, 404)
    error = response.json()["error"]
    return f"refused: {error['code']}, run: {error['run']}"


_STEPS: tuple[tuple[str, Callable[[_Site], str]], ...] = (
    ("Umurongo, a long brief", _long_brief),
    ("Umurongo, a booking and its retry", _booking_and_retry),
    ("Zarqa Lane, a lookup", _lookup),
    ("Zarqa Lane, a summary", _summary),
    ("Zarqa Lane, another customer's service", _other_customers_service),
)


def _send_requests(site: _Site) -> bool:
    succeeded = True
    for name, step in _STEPS:
        try:
            print(f"  ok      {name}: {step(site)}")
        except (DemoError, OSError, KeyError) as error:
            succeeded = False
            print(f"  FAILED  {name}: {error}")
    return succeeded


def _start(fleet: local_fleet.LocalFleet) -> _Site:
    print("starting the stand-ins and one VM's processes ...")
    fleet.start()
    count = len(fleet.children_by_name)
    print(f"{count} processes run; callers' URL: {fleet.url()}")
    return _Site(fleet.url())


def _stop(fleet: local_fleet.LocalFleet) -> bool:
    print("stopping ...")
    codes = fleet.stop()
    nonzero_codes = {name: code for name, code in codes.items() if code}
    if nonzero_codes:
        print(f"exit codes other than 0: {nonzero_codes}")
    else:
        print(f"all {len(codes)} processes ended cleanly")
    return not nonzero_codes


def _wait_for_interrupt(site: _Site, fleet: local_fleet.LocalFleet) -> None:
    key = fleet_document.api_key_of(_BRIEF_USER)
    print("send a request, for example:")
    print(f"  curl -N {site.url}/v1/completions \\")
    print(f"    -H 'Authorization: Bearer {key}' \\")
    print(
        '    -d \'{"model": "brief", "prompt": "Hello", "max_tokens": 20, '
        '"stream": true}\''
    )
    for process in fleet.vms_by_id["vm-0"].ports_by_process:
        print(f"{process}: {fleet.peer_url('vm-0', process)}/v1/status")
    print("Ctrl-C stops everything.")
    signals = {signal.SIGINT, signal.SIGTERM}
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    signal.sigwait(signals)


def main(arguments: list[str]) -> int:
    """Runs the demonstration.

    Args:
      arguments: Command-line arguments, `run` or `up`.

    Returns:
      The exit code: an error if a request or a process failed.
    """
    if arguments not in (["run"], ["up"]):
        print("usage: python -m tools.demo run|up")
        return errors.ExitCode.USAGE
    document = json.loads(_EXAMPLE.read_text(encoding="utf-8"))
    try:
        with local_fleet.LocalFleet(document) as fleet:
            site = _start(fleet)
            if arguments == ["up"]:
                _wait_for_interrupt(site, fleet)
                succeeded = True
            else:
                succeeded = _send_requests(site)
            succeeded = _stop(fleet) and succeeded
    except child.ChildError as error:
        print(f"FAILED  {error}")
        return errors.ExitCode.ERROR
    return errors.ExitCode.OK if succeeded else errors.ExitCode.ERROR


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
