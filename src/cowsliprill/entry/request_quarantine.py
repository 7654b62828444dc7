"""Refusal of requests that end the engines which begin to run them."""

import asyncio
import collections
import contextlib
from collections.abc import Iterator
from typing import Protocol

from cowsliprill.decisions import messages
from cowsliprill.entry import context
from cowsliprill.entry import errors
from cowsliprill.observability import log as log_lib
from cowsliprill.quarantine import crash_detector
from cowsliprill.quarantine import ledger as ledger_lib

_MS_PER_S = 1_000

# Fingerprint of a request and digests of the parts of its prompt.
_Features = tuple[str, tuple[str, ...]]


class RequestQuarantine(Protocol):
    """Interface for the filters that send requests to engines."""

    def check(self, ctx: context.Context) -> None:
        """Checks right before a send that the request may be sent.

        Args:
          ctx: The request.

        Raises:
          errors.EntryError: The request has ended too many engines.
        """

    async def report_lost(self, ctx: context.Context, endpoint_id: str) -> None:
        """Reports that an engine closed the connection without any output."""

    def report_survived(self, ctx: context.Context) -> None:
        """Reports that an engine has given output for the request."""

    def fingerprint(self, ctx: context.Context) -> str:
        """Returns the fingerprint by which copies of it may be suspected."""

    def unproven_parts(self, ctx: context.Context) -> tuple[str, ...]:
        """Returns the parts of the prompt that may end engines, as digests.

        These are the parts that no engine of the pool lately gave output on, as
        far as this process knows.
        """

    def notify(
        self, ctx: context.Context, decisions: asyncio.Queue
    ) -> contextlib.AbstractContextManager[None]:
        """Puts `messages.Recheck` into a queue when restrictions change."""


class Disabled:
    """Refuses no request."""

    def check(self, ctx: context.Context) -> None:
        """Does nothing."""

    async def report_lost(self, ctx: context.Context, endpoint_id: str) -> None:
        """Does nothing."""

    def report_survived(self, ctx: context.Context) -> None:
        """Does nothing."""

    def fingerprint(self, ctx: context.Context) -> str:
        """Returns no fingerprint."""
        del ctx
        return ""

    def unproven_parts(self, ctx: context.Context) -> tuple[str, ...]:
        """Returns no parts."""
        del ctx
        return ()

    @contextlib.contextmanager
    def notify(
        self, ctx: context.Context, decisions: asyncio.Queue
    ) -> Iterator[None]:
        """Does nothing."""
        del ctx, decisions
        yield


class LedgerQuarantine:
    """Refuses requests by the crash records of all VMs.

    Args:
      ledger: Crash records.
      detector: Finds out whether an engine has ended.
      log: Log of the process.
    """

    def __init__(
        self,
        ledger: ledger_lib.CrashLedger,
        detector: crash_detector.CrashDetector,
        log: log_lib.Log,
    ) -> None:
        self._ledger = ledger
        self._detector = detector
        self._log = log
        self._queues_by_features: dict[_Features, list[asyncio.Queue]] = (
            collections.defaultdict(list)
        )
        ledger.subscribe(self._recheck_waiting)

    def check(self, ctx: context.Context) -> None:
        """Raises `errors.EntryError` if the request must not be sent."""
        restriction = self._ledger.restriction(*_features(ctx))
        if restriction is None or ctx.progress.tokens:
            # An engine has given output for this request without ending.
            return
        self._log.event(
            "refused",
            request=ctx.request_id,
            caller=ctx.caller_id,
            fingerprint=ctx.fingerprint,
            reason=errors.Code.REQUEST_QUARANTINED.value,
            kind=restriction.kind.value,
            part=restriction.feature if restriction.is_part else "",
            crashes=len(restriction.records),
            retry_after_ms=round(restriction.left_s * _MS_PER_S, 1),
        )
        raise errors.EntryError(
            errors.Code.REQUEST_QUARANTINED,
            "Engines ended when they began to run this request.",
            run=ctx.progress.run,
            retry_after_s=restriction.left_s,
        )

    async def report_lost(self, ctx: context.Context, endpoint_id: str) -> None:
        """Finds out whether an engine has ended, and records the request.

        A request that is suspected already waits for the result, which may be
        that it must not be sent again.
        """
        examined = self._detector.report_lost(
            endpoint_id,
            ctx.fingerprint,
            ctx.progress.sent_at,
            ctx.prompt_parts,
        )
        if self._ledger.is_suspect(*_features(ctx)):
            await asyncio.shield(examined)

    def report_survived(self, ctx: context.Context) -> None:
        """Clears the request and its parts of earlier suspicions."""
        self._ledger.record_survived(
            ctx.fingerprint, ctx.service.pool, ctx.prompt_parts
        )

    def fingerprint(self, ctx: context.Context) -> str:
        """Returns the fingerprint by which copies of it may be suspected."""
        return ctx.fingerprint

    def unproven_parts(self, ctx: context.Context) -> tuple[str, ...]:
        """Returns the parts that no engine is known to survive."""
        return self._ledger.unproven_parts(ctx.prompt_parts, ctx.service.pool)

    @contextlib.contextmanager
    def notify(
        self, ctx: context.Context, decisions: asyncio.Queue
    ) -> Iterator[None]:
        """Has the request checked again while it waits."""
        features = _features(ctx)
        queues = self._queues_by_features[features]
        queues.append(decisions)
        try:
            yield
        finally:
            queues.remove(decisions)
            if not queues:
                del self._queues_by_features[features]

    def _recheck_waiting(self, changed: object) -> None:
        del changed
        for features, queues in self._queues_by_features.items():
            if self._ledger.restriction(*features) is not None:
                for decisions in queues:
                    decisions.put_nowait(messages.Recheck())


def _features(ctx: context.Context) -> _Features:
    return ctx.fingerprint, ctx.prompt_parts
