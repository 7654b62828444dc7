"""Asks decode engines which streams they run and which prompts they keep."""

import asyncio
import dataclasses
import math
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

from cowsliprill import clock
from cowsliprill import errors
from cowsliprill.decisions import model
from cowsliprill.decisions import stream_evidence
from cowsliprill.decisions import stream_origins
from cowsliprill.observability import log as log_lib

# Until this time after the start of the process, all VMs may have ended before.
_FRESH_S = 5.0

# Engines that haven't answered are asked again after this time.
_RETRY_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True)
class _PoolSurvey:
    ends_at: float
    evidence: stream_evidence.StreamEvidence = dataclasses.field(
        default_factory=stream_evidence.StreamEvidence
    )
    asked_ids: set[str] = dataclasses.field(default_factory=set)
    next_at: float = -math.inf
    task: asyncio.Task[None] | None = None


class EngineSurvey:
    """Finds the versions of streams that no VM has a record of.

    Engines are asked once only, as listing what they keep delays their work: at
    the first such stream, or as soon as a process that has just started begins
    to coordinate a pool of several versions, since KV caches are evicted.

    Args:
      read: Reads the contents of a decode engine.
      endpoints: Returns all listed endpoints.
      log: Log of the process.
    """

    def __init__(
        self,
        read: Callable[
            [model.Endpoint], Awaitable[stream_evidence.EngineContents]
        ],
        endpoints: Callable[[], Iterable[model.Endpoint]],
        log: log_lib.Log,
    ) -> None:
        self._read = read
        self._endpoints = endpoints
        self._log = log
        self._surveys_by_pool: dict[str, _PoolSurvey] = {}
        self._fresh_until = clock.now() + _FRESH_S

    def begin(self, pool: str) -> None:
        """Allows engines to be asked while streams from before may go on.

        Args:
          pool: Name of a pool that this process begins to coordinate.
        """
        previous = self._surveys_by_pool.get(pool)
        if previous is not None and previous.task is not None:
            previous.task.cancel()
        ends_at = clock.now() + stream_origins.STREAM_AGE_MIN_S
        survey = self._surveys_by_pool[pool] = _PoolSurvey(ends_at)
        engines = self._decode_engines(pool)
        versions = {engine.software_version for engine in engines.values()}
        if len(versions) > 1 and clock.now() < self._fresh_until:
            self._ask(pool, survey, engines)

    def version_of(
        self,
        customer: str,
        key: str,
        last_part: stream_origins.PromptPart,
        pool: str,
    ) -> str | None:
        """Returns the version that began a stream, None if unknown.

        Asks engines if that may help; see `is_under_way`.

        Args:
          customer: Id of the customer.
          key: Key of the attempt that brought its first event.
          last_part: Last part of its prompt.
          pool: Name of the pool.
        """
        survey = self._current(pool)
        if survey is None:
            return None
        engines = self._decode_engines(pool)
        version = survey.evidence.version_of(
            customer,
            key,
            last_part,
            all_asked=engines.keys() <= survey.asked_ids,
        )
        if version is None:
            self._ask(pool, survey, engines)
        return version

    def is_under_way(self, pool: str) -> bool:
        """Returns whether engines of a pool have yet to answer."""
        survey = self._current(pool)
        return survey is not None and survey.task is not None

    def _current(self, pool: str) -> _PoolSurvey | None:
        survey = self._surveys_by_pool.get(pool)
        if survey is not None and survey.ends_at <= clock.now():
            del self._surveys_by_pool[pool]
            return None
        return survey

    def _decode_engines(self, pool: str) -> dict[str, model.Endpoint]:
        return {
            endpoint.id: endpoint
            for endpoint in self._endpoints()
            if endpoint.pool == pool
            and endpoint.kind is model.EndpointKind.DECODE
        }

    def _ask(
        self,
        pool: str,
        survey: _PoolSurvey,
        engines: dict[str, model.Endpoint],
    ) -> None:
        if survey.task or clock.now() < survey.next_at:
            return
        asked = [
            engine
            for engine_id, engine in sorted(engines.items())
            if not survey.evidence.knows(engine_id)
        ]
        if not asked:
            return
        survey.next_at = clock.now() + _RETRY_INTERVAL_S
        survey.task = asyncio.create_task(self._ask_all(pool, survey, asked))

    async def _ask_all(
        self, pool: str, survey: _PoolSurvey, engines: list[model.Endpoint]
    ) -> None:
        try:
            answered = await asyncio.gather(
                *(self._ask_one(survey, engine) for engine in engines)
            )
        finally:
            survey.task = None
        survey.asked_ids.update(engine.id for engine in engines)
        self._log.event(
            "engines_surveyed",
            pool=pool,
            engines=len(engines),
            answered=sum(answered),
        )

    async def _ask_one(
        self, survey: _PoolSurvey, engine: model.Endpoint
    ) -> bool:
        try:
            contents = await self._read(engine)
        except errors.CowsliprillError as error:
            self._log.event(
                "engine_contents_unknown",
                endpoint=engine.id,
                reason=error.message,
            )
            return False
        survey.evidence.add(engine.id, contents)
        return True
