"""Both users' traffic for tests under faults, with a record of each outcome."""

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

_FIRMS = tuple(f"umurongo/firm-{number}" for number in range(1, 5))
_COURIER = "zarqa-lane"
_ANSWER_TOKENS = 12
_OK = 200
_CREATED = 201
_TRIES = 4
_HURRY = 0.3
_LEAVE = 0.2


class Kind(enum.StrEnum):
    """What is asked for."""

    BRIEF = "brief"
    SUMMARY = "summary"
    LOOKUP = "lookup"
    BOOKING = "booking"
    PICKUP = "pickup"


class End(enum.StrEnum):
    """How one HTTP call ended.

    BROKEN is a connection that was lost, as a caller sees a killed process;
    DROPPED a call that the caller left.
    """

    WHOLE = "whole"
    REFUSED = "refused"
    BROKEN = "broken"
    DROPPED = "dropped"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What one HTTP call came to.

    Attributes:
      vm_id: The VM that was called.
      end: How it ended.
      status: HTTP status, 0 without one.
      code: The error's code, empty if none.
      run: `no` or `unknown` for an error.
      retry_after: Whether a time to come back was given.
      text: The answer's text.
      replayed: Whether it repeats the answer of an earlier call.
    """

    vm_id: str
    end: End
    status: int = 0
    code: str = ""
    run: str = ""
    retry_after: bool = False
    text: str = ""
    replayed: bool = False


@dataclasses.dataclass(slots=True, kw_only=True)
class Asked:
    """One thing that a caller wants, and the calls it made for it.

    Attributes:
      kind: What it is.
      body: Text that no other request has.
      outcomes: Its calls, in order.
    """

    kind: Kind
    body: str
    outcomes: list[Outcome] = dataclasses.field(default_factory=list)


class Traffic:
    """Callers that send requests one after the other, each in a thread.

    Args:
      fleet: Where to.
      seed: Seed of what is asked for.
      callers: Callers at the same time.
      requests: Requests of each caller.
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
        self._asked: list[Asked] = []
        self._ended = 0
        self._stopping = False
        self._news = threading.Condition()
        self._threads = [
            threading.Thread(
                target=self._call_on,
                args=(number, random.Random(f"{seed}/{number}")),
                daemon=True,
            )
            for number in range(callers)
        ]
        self.total = callers * requests

    def start(self) -> None:
        """Starts the callers."""
        for thread in self._threads:
            thread.start()

    def wait_for(self, ended: int, at_most_s: float) -> None:
        """Waits until so many requests have ended, or for so long."""
        with self._news:
            self._news.wait_for(lambda: self._ended >= ended, at_most_s)

    def stop(self) -> None:
        """Lets each caller end after its present request."""
        self._stopping = True

    @property
    def ended(self) -> int:
        """Requests that have ended."""
        with self._news:
            return self._ended

    def finish(self) -> list[Asked]:
        """Waits for all callers.

        Returns:
          All that was asked.
        """
        for thread in self._threads:
            thread.join()
        return self._asked

    def _call_on(self, caller: int, rng: random.Random) -> None:
        for number in range(self._requests):
            if self._stopping:
                return
            kind = rng.choice(list(Kind))
            asked = Asked(kind=kind, body=f"{kind}-{caller}-{number}")
            with self._news:
                self._asked.append(asked)
            self._ask(asked, rng)
            with self._news:
                self._ended += 1
                self._news.notify_all()

    def _ask(self, asked: Asked, rng: random.Random) -> None:
        match asked.kind:
            case Kind.BRIEF:
                self._generate(asked, "brief", rng.choice(_FIRMS), rng)
            case Kind.SUMMARY:
                self._generate(asked, "summary", _COURIER, rng)
            case Kind.LOOKUP:
                path = f"/services/lookup/{asked.body}"
                self._plain(asked, "GET", path, self._vm(rng), _COURIER, "")
            case Kind.BOOKING:
                self._book(asked, "booking", rng.choice(_FIRMS), rng)
            case Kind.PICKUP:
                self._book(asked, "pickup", _COURIER, rng)

    def _vm(self, rng: random.Random) -> str:
        # As the platform's balancer does: only VMs that aren't leaving.
        live = [
            vm.id for vm in self._fleet.vms_by_id.values() if vm.state == "live"
        ]
        return rng.choice(sorted(live))

    def _headers(self, customer: str, key: str = "") -> dict[str, str]:
        headers = {"Authorization": f"Bearer {fleet_document.key_of(customer)}"}
        if key:
            headers["Idempotency-Key"] = key
        return headers

    # --- Model services ---------------------------------------------------

    def _generate(
        self, asked: Asked, service: str, customer: str, rng: random.Random
    ) -> None:
        vm_id = self._vm(rng)
        drop_after = rng.randrange(_ANSWER_TOKENS)
        drops = rng.random() < _LEAVE
        body = {
            "model": service,
            "prompt": asked.body,
            "max_tokens": _ANSWER_TOKENS,
            "stream": True,
        }
        try:
            stream = http_calls.open_stream(
                f"{self._fleet.url(vm_id)}/v1/completions",
                body,
                self._headers(customer),
            )
            if stream.status != _OK:
                content = stream.read()
                asked.outcomes.append(_refused(vm_id, stream.status, content))
            elif drops:
                self._leave_early(asked, vm_id, stream, drop_after)
            else:
                asked.outcomes.append(_streamed(vm_id, stream))
            stream.drop()
        except (OSError, http.client.HTTPException):
            asked.outcomes.append(Outcome(vm_id=vm_id, end=End.BROKEN))

    def _leave_early(
        self,
        asked: Asked,
        vm_id: str,
        stream: http_calls.Stream,
        drop_after: int,
    ) -> None:
        for number, _ in enumerate(stream.events()):
            if number >= drop_after:
                break
        asked.outcomes.append(Outcome(vm_id=vm_id, end=End.DROPPED))

    # --- Plain services ---------------------------------------------------

    def _book(
        self, asked: Asked, service: str, customer: str, rng: random.Random
    ) -> None:
        """Gets a ticket and calls until there is an answer, at any VM.

        Some callers don't wait for the first call's end, and send a second
        one elsewhere at the same time.
        """
        ticket = self._ticket(service, customer, rng)
        if ticket is None:
            return
        path = f"/services/{service}/new"
        hurries = rng.random() < _HURRY
        for _ in range(_TRIES):
            vm_ids = [self._vm(rng) for _ in range(2 if hurries else 1)]
            calls = [
                threading.Thread(
                    target=self._plain,
                    args=(asked, "POST", path, vm_id, customer, ticket),
                )
                for vm_id in vm_ids
            ]
            for call in calls:
                call.start()
            for call in calls:
                call.join()
            if any(o.end is End.WHOLE for o in asked.outcomes):
                return

    def _ticket(
        self, service: str, customer: str, rng: random.Random
    ) -> str | None:
        try:
            answer = http_calls.call(
                "POST",
                f"{self._fleet.url(self._vm(rng))}/v1/tickets",
                {"service": service},
                self._headers(customer),
            )
        except (OSError, http.client.HTTPException):
            return None
        if answer.status != _CREATED:
            return None
        return answer.json()["ticket"]

    def _plain(
        self,
        asked: Asked,
        method: str,
        path: str,
        vm_id: str,
        customer: str,
        key: str,
    ) -> None:
        body = asked.body.encode() if method != "GET" else None
        try:
            answer = http_calls.call(
                method,
                f"{self._fleet.url(vm_id)}{path}",
                body,
                self._headers(customer, key),
            )
        except (OSError, http.client.HTTPException):
            outcome = Outcome(vm_id=vm_id, end=End.BROKEN)
        else:
            outcome = _answered(vm_id, answer)
        asked.outcomes.append(outcome)


def _answered(vm_id: str, answer: http_calls.Answer) -> Outcome:
    if answer.status != _OK:
        return _refused(vm_id, answer.status, answer.body)
    return Outcome(
        vm_id=vm_id,
        end=End.WHOLE,
        status=answer.status,
        text=answer.body.decode(),
        replayed=answer.headers.get("idempotent-replayed") == "true",
    )


def _refused(vm_id: str, status: int, content: bytes) -> Outcome:
    error: dict[str, Any] = json.loads(content)["error"]
    return Outcome(
        vm_id=vm_id,
        end=End.REFUSED,
        status=status,
        code=error["code"],
        run=error["run"],
        retry_after="retry_after_s" in error,
    )


def _streamed(vm_id: str, stream: http_calls.Stream) -> Outcome:
    text = ""
    for event in stream.events():
        data = event.partition(b"data: ")[2]
        if data == b"[DONE]":
            return Outcome(vm_id=vm_id, end=End.WHOLE, status=_OK, text=text)
        fields = json.loads(data)
        if "error" in fields:
            error = fields["error"]
            return Outcome(
                vm_id=vm_id,
                end=End.REFUSED,
                status=_OK,
                code=error["code"],
                run=error["run"],
                retry_after="retry_after_s" in error,
                text=text,
            )
        text += fields["choices"][0]["text"]
    return Outcome(vm_id=vm_id, end=End.BROKEN, text=text)
