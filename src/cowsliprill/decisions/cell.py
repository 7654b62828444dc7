"""The one place that places the requests of a pool, for all entries.

Pure. A cell is a pool of engines with one home among the VMs. Its scheduler
knows each request that waits or runs at any entry, so it counts the engines'
memory exactly and puts all requests in one order. Entries send it their events
and get its decisions.

An entry that a cell hasn't heard may have work at the engines that nobody here
counts. Where the cell is at the home, entries that have work state it within a
moment after they have turned to it, and the others have none: what it uses of
each engine grows to the whole meanwhile. Where it is not, it stands in for a
home that some entries can't reach, and others use. It uses the part of each
engine that is the part of the live entries which it hears.
"""

import dataclasses

from cowsliprill.decisions import channel
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import pool as pools
from cowsliprill.decisions import scheduler as scheduler_lib

# An entry that isn't heard for so long is taken for gone, and the slots of its
# requests for free: engines drop requests whose connection is lost. It is
# longer than an entry that lives is ever silent, see `cells.client.PING_S`.
SILENCE_S = 2.5

# Entries that have work turn to a new home within this time.
SETTLED_S = 1.0

# How often what a new home uses of the engines grows.
_GROWTH_S = 0.05

# An entry without requests isn't forgotten for so long, though it says nothing:
# its next request needn't begin a channel.
_IDLE_S = 60.0

# Part of the saved retries of all entries that one cell uses.
_BUDGET_PART = 0.5

Decision = messages.Decision


@dataclasses.dataclass(slots=True)
class _Entry:
    epoch: int
    heard_at: float
    inbox: channel.Inbox = dataclasses.field(default_factory=channel.Inbox)
    outbox: channel.Outbox[Decision] = dataclasses.field(
        default_factory=channel.Outbox
    )
    ids_by_number: dict[int, int] = dataclasses.field(default_factory=dict)


class Cell:
    """One pool's requests of all entries.

    Args:
      availability_zone: Where the home is.
      seed: Seed of its random numbers.
    """

    def __init__(self, availability_zone: str, seed: int) -> None:
        self._scheduler = scheduler_lib.Scheduler(
            availability_zone, seed, owns_slots=True
        )
        self._entries_by_id: dict[str, _Entry] = {}
        self._owners_by_id: dict[int, tuple[str, int]] = {}
        self._next_id = 0
        self._live_entries = 1
        self._home_since: float | None = None
        self._share: float | None = None

    def set_home(self, is_home: bool, now: float) -> None:
        """Takes whether this cell is at the pool's home, as its VM sees it.

        Args:
          is_home: Whether it is; else it stands in for the home.
          now: Time, seconds.
        """
        if not is_home:
            self._home_since = None
        elif self._home_since is None:
            self._home_since = now
        self._set_share(now)

    def update(
        self, snapshot: model.Snapshot, fleet: model.Fleet, now: float
    ) -> None:
        """Takes new settings or a new VM list."""
        self._live_entries = sum(
            len(vm.entry_ports)
            for vm in fleet.vms_by_id.values()
            if vm.role is model.VmRole.ENTRY
            and vm.state is not model.VmState.JOINING
        )
        self._handle(messages.WorldChanged(snapshot, fleet), now)
        self._set_share(now)

    def knows(self, entry: str, epoch: int) -> bool:
        """Returns whether an entry's messages may go on where they were."""
        known = self._entries_by_id.get(entry)
        return known is not None and known.epoch == epoch

    def is_old(self, entry: str, epoch: int) -> bool:
        """Returns whether a channel was followed by a newer one.

        A call that was long on its way would otherwise throw away what the
        entry has stated since.
        """
        known = self._entries_by_id.get(entry)
        return known is not None and known.epoch > epoch

    def receive(
        self,
        entry: str,
        epoch: int,
        first: int,
        events: tuple[messages.Event, ...],
        now: float,
    ) -> None:
        """Takes an entry's messages.

        Args:
          entry: Id of the entry.
          epoch: Rises with each channel of the entry; a new one begins anew.
          first: Number of the first message.
          events: The messages, by the entry's own numbers of requests.
          now: Time, seconds.
        """
        known = self._entries_by_id.get(entry)
        if known is None or known.epoch != epoch:
            if known is not None:
                self._forget(entry, now)
            known = _Entry(epoch, now)
            self._entries_by_id[entry] = known
            self._set_share(now)
        known.heard_at = now
        for event in known.inbox.take(first, events):
            translated = self._translate(entry, known, event)
            if translated is not None:
                self._handle(translated, now)

    def acknowledge(self, entry: str, number: int) -> None:
        """Notes which decisions an entry has had."""
        self._entries_by_id[entry].outbox.acknowledge(number)

    def decisions(self, entry: str) -> tuple[int, tuple[Decision, ...], int]:
        """Returns what an entry hasn't acknowledged.

        Returns:
          Number of the first decision, the decisions, and the number of the
          newest message that was taken from the entry.
        """
        known = self._entries_by_id[entry]
        outbox = known.outbox
        return outbox.first, outbox.pending(), known.inbox.last

    def has_news(self, entry: str) -> bool:
        """Returns whether an entry should hear from this cell now."""
        known = self._entries_by_id.get(entry)
        return known is None or bool(known.outbox.pending())

    def engines(self, pool: str) -> int:
        """Returns how many engines of a pool are known."""
        return self._scheduler.engines(pool)

    def standing(self, pool: str) -> pools.Standing | None:
        """Returns how full a pool is by what is known here."""
        return self._scheduler.standing(pool)

    def prompt_part(self, pool: str) -> float | None:
        """Returns the part of a pool's work that prompts are, if known."""
        return self._scheduler.prompt_part(pool)

    def running(self, entry: str) -> int:
        """Returns how many requests of an entry wait or run."""
        return len(self._entries_by_id[entry].ids_by_number)

    def tick(self, now: float) -> None:
        """Lets time pass."""
        silent = [
            name
            for name, entry in self._entries_by_id.items()
            if now - entry.heard_at
            > (SILENCE_S if entry.ids_by_number else _IDLE_S)
        ]
        for name in silent:
            self._forget(name, now)
        self._set_share(now)
        self._handle(messages.Tick(), now)

    def next_wakeup(self, now: float) -> float:
        """Returns when `tick` is due."""
        wakeup = self._scheduler.next_wakeup(now)
        if self._is_settling(now):
            return min(wakeup, now + _GROWTH_S)
        return wakeup

    def _is_settling(self, now: float) -> bool:
        since = self._home_since
        return since is not None and now - since <= SETTLED_S + _GROWTH_S

    def _forget(self, entry: str, now: float) -> None:
        known = self._entries_by_id.pop(entry)
        # All are disowned before the first is cancelled: the room that it
        # leaves could else be given to the next one of the same entry.
        for request_id in known.ids_by_number.values():
            self._owners_by_id.pop(request_id, None)
        for request_id in known.ids_by_number.values():
            self._handle(messages.Cancel(request_id), now)

    def _set_share(self, now: float) -> None:
        share = self._heard_part(now)
        if self._home_since is not None:
            share = max(share, (now - self._home_since) / SETTLED_S)
        share = min(share, 1.0)
        if share != self._share:
            self._share = share
            self._perform(self._scheduler.set_share(share, now))

    def _heard_part(self, now: float) -> float:
        heard = sum(
            now - entry.heard_at <= SILENCE_S
            for entry in self._entries_by_id.values()
        )
        return heard / max(self._live_entries, 1)

    def _translate(
        self, entry: str, known: _Entry, event: messages.Event
    ) -> messages.Event | None:
        match event:
            case messages.Submit(request_id=number):
                request_id = self._new_id(entry, known, number)
                return dataclasses.replace(
                    event,
                    request_id=request_id,
                    service=self._with_whole_budget(event.service),
                )
            case messages.Adopt(submit=submit, start=start):
                request_id = self._new_id(entry, known, submit.request_id)
                return dataclasses.replace(
                    event,
                    submit=dataclasses.replace(submit, request_id=request_id),
                    start=dataclasses.replace(start, request_id=request_id),
                )
            case messages.Cancel(number) | messages.Finished(number):
                request_id = known.ids_by_number.pop(number, None)
                self._owners_by_id.pop(request_id, None)
            case _:
                request_id = known.ids_by_number.get(event.request_id)
        if request_id is None:
            return None
        return dataclasses.replace(event, request_id=request_id)

    def _with_whole_budget(self, service: model.Service) -> model.Service:
        # What may be saved up is each entry's part. This cell counts for all
        # entries; a part is left out, since the budget begins anew when the
        # home moves.
        burst = service.retries.burst * self._live_entries * _BUDGET_PART
        retries = dataclasses.replace(service.retries, burst=max(int(burst), 1))
        return dataclasses.replace(service, retries=retries)

    def _new_id(self, entry: str, known: _Entry, number: int) -> int:
        request_id = self._next_id
        self._next_id += 1
        known.ids_by_number[number] = request_id
        self._owners_by_id[request_id] = (entry, number)
        return request_id

    def _handle(self, event: messages.Event, now: float) -> None:
        self._perform(self._scheduler.handle(event, now))

    def _perform(self, actions: list[messages.Action]) -> None:
        for action in actions:
            match action:
                case messages.Start() | messages.Refuse():
                    self._tell(action)
                case _:
                    # Engines drop a request when its connection is closed, so
                    # the entry that loses an attempt ends it by itself.
                    pass

    def _tell(self, decision: Decision) -> None:
        owner = self._owners_by_id.get(decision.request_id)
        if owner is None:
            return
        entry, number = owner
        known = self._entries_by_id[entry]
        known.outbox.add(dataclasses.replace(decision, request_id=number))
        if isinstance(decision, messages.Refuse):
            del self._owners_by_id[decision.request_id]
            known.ids_by_number.pop(number, None)
