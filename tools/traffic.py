"""Random traffic of several customers that records each call's outcome."""

import dataclasses
import enum
import http.client
import json
import random
import threading
from typing import Any

from tools import fleet_document
from tools import http_calls
from tools import local_fleet

_LAW_FIRM_CUSTOMERS = tuple(f"umurongo/firm-{number}" for number in range(1, 5))
_COURIER_CUSTOMER = "zarqa-lane"
_OUTPUT_TOKENS = 12
_HTTP_OK = 200
_HTTP_CREATED = 201
_MAX_ATTEMPTS = 4
_DUPLICATE_CALL_PROBABILITY = 0.3
_DISCONNECT_PROBABILITY = 0.2


class Kind(enum.StrEnum):
    """Kind of request, named after the service."""

    BRIEF = "brief"
    SUMMARY = "summary"
    LOOKUP = "lookup"
    BOOKING = "booking"
    PICKUP = "pickup"


class CallEnd(enum.StrEnum):
    """How one HTTP call ended.

    `COMPLETE` is a complete response. `REFUSED` is an error response.
    `BROKEN` is a lost connection or a truncated stream, as when a process is
    killed.
    `DISCONNECTED` is a call from which the caller disconnected.
    """

    COMPLETE = "whole"
    REFUSED = "refused"
    BROKEN = "broken"
    DISCONNECTED = "dropped"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Outcome of one HTTP call.

    Attributes:
      vm_id: ID of the VM that was called.
      end: How the call ended.
      status: HTTP status code; 0 if no response was received.
      code: Error code; empty if there was no error.
      run: For an error, whether the request was executed: `no` or `unknown`.
      retry_after: Whether the error suggests a delay before a retry.
      text: Text of the response or stream.
      replayed: Whether the response is a stored one of an earlier call.
    """

    vm_id: str
    end: CallEnd
    status: int = 0
    code: str = ""
    run: str = ""
    retry_after: bool = False
    text: str = ""
    replayed: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestRecord:
    """One logical request of a caller, with the outcomes of all its calls.

    Attributes:
      kind: Kind of request.
      body: Unique text that identifies the request at the endpoint.
      outcomes: Outcomes of the calls, in the order in which they ended.
    """

    kind: Kind
    body: str
    outcomes: list[Outcome] = dataclasses.field(default_factory=list)


class Traffic:
    """Concurrent callers, each a thread that sends its requests in sequence.

    Args:
      fleet: Fleet to send requests to.
      seed: Random seed of the requests.
      callers: Number of concurrent callers.
      requests: Number of requests per caller.

    Attributes:
      total: Number of requests of all callers.
    """

    def __init__(
        self,
        fleet: local_fleet.LocalFleet,
        seed: int,
        *,
        callers: int,
        requests: int,
    ) -> None:
        self._fleet = fleet
        self._requests = requests
        self._records: list[RequestRecord] = []
        self._ended_count = 0
        self._stopping = False
        self._progress = threading.Condition()
        self._threads = [
            threading.Thread(
                target=self._run_caller,
                args=(number, random.Random(f"{seed}/{number}")),
                daemon=True,
            )
            for number in range(callers)
        ]
        self.total = callers * requests

    def start(self) -> None:
        """Starts the caller threads."""
        for thread in self._threads:
            thread.start()

    def wait_for(self, ended: int, timeout_s: float) -> None:
        """Waits until `ended` requests have ended or the timeout expires."""
        with self._progress:
            self._progress.wait_for(
                lambda: self._ended_count >= ended, timeout_s
            )

    def stop(self) -> None:
        """Makes each caller stop after its current request."""
        self._stopping = True

    @property
    def ended(self) -> int:
        """Number of requests that have ended."""
        with self._progress:
            return self._ended_count

    def finish(self) -> list[RequestRecord]:
        """Waits until all callers have stopped.

        Returns:
          The records of all requests sent.
        """
        for thread in self._threads:
            thread.join()
        return self._records

    def _run_caller(self, caller: int, rng: random.Random) -> None:
        for number in range(self._requests):
            if self._stopping:
                return
            kind = rng.choice(list(Kind))
            record = RequestRecord(kind=kind, body=f"{kind}-{caller}-{number}")
            with self._progress:
                self._records.append(record)
            self._send_request(record, rng)
            with self._progress:
                self._ended_count += 1
                self._progress.notify_all()

    def _send_request(self, record: RequestRecord, rng: random.Random) -> None:
        match record.kind:
            case Kind.BRIEF:
                self._call_model(
                    record, "brief", rng.choice(_LAW_FIRM_CUSTOMERS), rng
                )
            case Kind.SUMMARY:
                self._call_model(record, "summary", _COURIER_CUSTOMER, rng)
            case Kind.LOOKUP:
                path = f"/services/lookup/{record.body}"
                self._call_plain_service(
                    record,
                    "GET",
                    path,
                    self._random_live_vm(rng),
                    _COURIER_CUSTOMER,
                    "",
                )
            case Kind.BOOKING:
                self._call_with_ticket(
                    record, "booking", rng.choice(_LAW_FIRM_CUSTOMERS), rng
                )
            case Kind.PICKUP:
                self._call_with_ticket(record, "pickup", _COURIER_CUSTOMER, rng)

    def _random_live_vm(self, rng: random.Random) -> str:
        # Like the platform's load balancer, skips VMs that are leaving.
        live = [
            vm.id for vm in self._fleet.vms_by_id.values() if vm.state == "live"
        ]
        return rng.choice(sorted(live))

    def _headers(self, customer: str, key: str = "") -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {fleet_document.api_key_of(customer)}"
        }
        if key:
            headers["Idempotency-Key"] = key
        return headers

    # --- Model services ---------------------------------------------------

    def _call_model(
        self,
        record: RequestRecord,
        service: str,
        customer: str,
        rng: random.Random,
    ) -> None:
        vm_id = self._random_live_vm(rng)
        disconnect_after = rng.randrange(_OUTPUT_TOKENS)
        disconnects = rng.random() < _DISCONNECT_PROBABILITY
        body = {
            "model": service,
            "prompt": record.body,
            "max_tokens": _OUTPUT_TOKENS,
            "stream": True,
        }
        try:
            stream = http_calls.open_stream(
                f"{self._fleet.url(vm_id)}/v1/completions",
                body,
                self._headers(customer),
            )
            if stream.status != _HTTP_OK:
                content = stream.read()
                record.outcomes.append(
                    _error_outcome(vm_id, stream.status, content)
                )
            elif disconnects:
                self._disconnect_early(record, vm_id, stream, disconnect_after)
            else:
                record.outcomes.append(_stream_outcome(vm_id, stream))
            stream.disconnect()
        except (OSError, http.client.HTTPException):
            record.outcomes.append(Outcome(vm_id=vm_id, end=CallEnd.BROKEN))

    def _disconnect_early(
        self,
        record: RequestRecord,
        vm_id: str,
        stream: http_calls.Stream,
        disconnect_after: int,
    ) -> None:
        for number, _ in enumerate(stream.events()):
            if number >= disconnect_after:
                break
        record.outcomes.append(Outcome(vm_id=vm_id, end=CallEnd.DISCONNECTED))

    # --- Plain services ---------------------------------------------------

    def _call_with_ticket(
        self,
        record: RequestRecord,
        service: str,
        customer: str,
        rng: random.Random,
    ) -> None:
        """Gets a ticket and calls random VMs until one returns a response.

        Some callers send a duplicate call with the same ticket concurrently,
        to a VM that is drawn independently. Attempts are limited.
        """
        ticket = self._ticket(service, customer, rng)
        if ticket is None:
            return
        path = f"/services/{service}/new"
        sends_duplicates = rng.random() < _DUPLICATE_CALL_PROBABILITY
        for _ in range(_MAX_ATTEMPTS):
            vm_ids = [
                self._random_live_vm(rng)
                for _ in range(2 if sends_duplicates else 1)
            ]
            calls = [
                threading.Thread(
                    target=self._call_plain_service,
                    args=(record, "POST", path, vm_id, customer, ticket),
                )
                for vm_id in vm_ids
            ]
            for call in calls:
                call.start()
            for call in calls:
                call.join()
            if any(o.end is CallEnd.COMPLETE for o in record.outcomes):
                return

    def _ticket(
        self, service: str, customer: str, rng: random.Random
    ) -> str | None:
        try:
            response = http_calls.call(
                "POST",
                f"{self._fleet.url(self._random_live_vm(rng))}/v1/tickets",
                {"service": service},
                self._headers(customer),
            )
        except (OSError, http.client.HTTPException):
            return None
        if response.status != _HTTP_CREATED:
            return None
        return response.json()["ticket"]

    def _call_plain_service(
        self,
        record: RequestRecord,
        method: str,
        path: str,
        vm_id: str,
        customer: str,
        key: str,
    ) -> None:
        body = record.body.encode() if method != "GET" else None
        try:
            response = http_calls.call(
                method,
                f"{self._fleet.url(vm_id)}{path}",
                body,
                self._headers(customer, key),
            )
        except (OSError, http.client.HTTPException):
            outcome = Outcome(vm_id=vm_id, end=CallEnd.BROKEN)
        else:
            outcome = _response_outcome(vm_id, response)
        record.outcomes.append(outcome)


def _response_outcome(vm_id: str, response: http_calls.HttpResponse) -> Outcome:
    if response.status != _HTTP_OK:
        return _error_outcome(vm_id, response.status, response.body)
    return Outcome(
        vm_id=vm_id,
        end=CallEnd.COMPLETE,
        status=response.status,
        text=response.body.decode(),
        replayed=response.headers.get("idempotent-replayed") == "true",
    )


def _error_outcome(vm_id: str, status: int, content: bytes) -> Outcome:
    error: dict[str, Any] = json.loads(content)["error"]
    return Outcome(
        vm_id=vm_id,
        end=CallEnd.REFUSED,
        status=status,
        code=error["code"],
        run=error["run"],
        retry_after="retry_after_s" in error,
    )


def _stream_outcome(vm_id: str, stream: http_calls.Stream) -> Outcome:
    text = ""
    for event in stream.events():
        data = event.partition(b"data: ")[2]
        if data == b"[DONE]":
            return Outcome(
                vm_id=vm_id, end=CallEnd.COMPLETE, status=_HTTP_OK, text=text
            )
        fields = json.loads(data)
        if "error" in fields:
            error = fields["error"]
            return Outcome(
                vm_id=vm_id,
                end=CallEnd.REFUSED,
                status=_HTTP_OK,
                code=error["code"],
                run=error["run"],
                retry_after="retry_after_s" in error,
                text=text,
            )
        text += fields["choices"][0]["text"]
    return Outcome(vm_id=vm_id, end=CallEnd.BROKEN, text=text)
