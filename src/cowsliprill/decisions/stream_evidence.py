"""Which software version began a stream, by what engines run and keep.

After all VMs have ended, no record of a stream is left. Engines list the
attempts that they run and the parts of prompts whose KV caches they keep.
"""

import dataclasses
from collections.abc import Mapping

from cowsliprill.decisions import stream_origins


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineContents:
    """What a decode engine ran and kept when it was asked.

    Attributes:
      version: Software version of the engine.
      attempts: Callers' ids of the attempts that it ran.
      tokens_by_part: Number of tokens kept in its KV cache, by part of a
        prompt.
    """

    version: str
    attempts: frozenset[str]
    tokens_by_part: Mapping[str, int]


class StreamEvidence:
    """The contents of a pool's decode engines shortly after a start."""

    def __init__(self) -> None:
        self._contents_by_engine: dict[str, EngineContents] = {}
        self._versions_by_key_by_customer: dict[str, dict[str, set[str]]] = {}

    def add(self, engine_id: str, contents: EngineContents) -> None:
        """Adds the contents of an engine, unless they are known.

        Later contents tell less: KV caches are evicted, and a stream that goes
        on leaves its prompt at further engines.

        Args:
          engine_id: Id of the engine.
          contents: What it ran and kept.
        """
        self._contents_by_engine.setdefault(engine_id, contents)
        self._versions_by_key_by_customer.clear()

    def knows(self, engine_id: str) -> bool:
        """Returns whether the contents of an engine are known.

        Args:
          engine_id: Id of the engine.
        """
        return engine_id in self._contents_by_engine

    def version_of(
        self,
        customer: str,
        key: str,
        last_part: stream_origins.PromptPart,
        *,
        all_asked: bool,
    ) -> str | None:
        """Returns the software version that began a stream.

        An engine that runs the attempt has begun it. If none does, the engines
        that keep the whole prompt tell, provided that all have been asked and
        no two versions keep it.

        Args:
          customer: Id of the customer.
          key: Key of the attempt that brought the stream's first event; see
            `stream_origins.key_of`.
          last_part: Last part of its prompt.
          all_asked: Whether all decode engines have been asked. Those that
            didn't answer have most likely ended.

        Returns:
          The version, None if the engines don't tell it.
        """
        running = self._versions_by_key(customer).get(key, set())
        if running:
            return _only(running)
        if not last_part.id or not all_asked:
            return None
        return _only(self._versions_that_keep(last_part))

    def _versions_that_keep(self, part: stream_origins.PromptPart) -> set[str]:
        return {
            contents.version
            for contents in self._contents_by_engine.values()
            if contents.tokens_by_part.get(part.id, -1) >= part.tokens
        }

    def _versions_by_key(self, customer: str) -> dict[str, set[str]]:
        known = self._versions_by_key_by_customer.get(customer)
        if known is not None:
            return known
        versions_by_key: dict[str, set[str]] = {}
        for contents in self._contents_by_engine.values():
            for attempt in contents.attempts:
                key = stream_origins.key_of(customer, attempt)
                versions_by_key.setdefault(key, set()).add(contents.version)
        self._versions_by_key_by_customer[customer] = versions_by_key
        return versions_by_key


def _only(versions: set[str]) -> str | None:
    return next(iter(versions)) if len(versions) == 1 else None
