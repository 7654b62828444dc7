"""Follows how long engines are silent to the calls of this VM."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from cowsliprill.decisions import engine_silence
from cowsliprill.decisions import model
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

_MS_PER_S = 1_000

Probe = Callable[[model.Endpoint], Awaitable[engine_silence.Liveness]]


class SilenceMonitor:
    """Probes and reports engines that are silent to calls in progress.

    Args:
      probe: Finds out whether an engine runs.
      log: Log of the process.
      metrics: Metrics of the process.
    """

    def __init__(
        self,
        probe: Probe,
        log: log_lib.Log,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._probe_engine = probe
        self._log = log
        self._metrics = metrics
        self._activities_by_id: dict[str, engine_silence.EngineActivity] = {}
        self._probes_by_id: dict[str, asyncio.Task[None]] = {}

    def watch(
        self, endpoint: model.Endpoint, first_answer_s: float
    ) -> "CallWatch":
        """Returns the policy of a new call to an engine.

        Args:
          endpoint: The engine.
          first_answer_s: How long the engine may serve others before it begins
            to answer the call, in seconds.
        """
        return CallWatch(self, endpoint, first_answer_s)

    def activity(self, endpoint_id: str) -> engine_silence.EngineActivity:
        """Returns what this VM receives from an engine.

        Args:
          endpoint_id: Id of the engine.
        """
        return self._activities_by_id.setdefault(
            endpoint_id, engine_silence.EngineActivity()
        )

    def stands_still(self, endpoint_id: str) -> bool:
        """Returns whether an engine is mute to all calls and to a probe.

        Args:
          endpoint_id: Id of the engine.
        """
        activity = self._activities_by_id.get(endpoint_id)
        return activity is not None and activity.stands_still

    def hear(self, endpoint: model.Endpoint, now: float) -> None:
        """Records data of any call to an engine.

        Args:
          endpoint: The engine.
          now: Current time in seconds.
        """
        activity = self.activity(endpoint.id)
        was_reported = activity.reported
        silent_s = activity.hear(now)
        if was_reported and not activity.reported:
            self._log.event(
                "engine_heard",
                endpoint=endpoint.id,
                silent_ms=round(silent_s * _MS_PER_S),
                calls=activity.calls,
            )

    def probe(self, endpoint: model.Endpoint) -> None:
        """Begins to probe an engine, unless that is under way.

        Args:
          endpoint: The engine.
        """
        if endpoint.id in self._probes_by_id:
            return
        task = asyncio.create_task(self._probe(endpoint))
        self._probes_by_id[endpoint.id] = task
        task.add_done_callback(
            lambda _: self._probes_by_id.pop(endpoint.id, None)
        )

    def end_call(self, endpoint_id: str) -> None:
        """Records the end of a call.

        Args:
          endpoint_id: Id of its engine.
        """
        activity = self.activity(endpoint_id)
        activity.end_call()
        if not activity.calls:
            del self._activities_by_id[endpoint_id]

    async def _probe(self, endpoint: model.Endpoint) -> None:
        liveness = await self._probe_engine(endpoint)
        activity = self._activities_by_id.get(endpoint.id)
        if activity is None:
            return
        now = asyncio.get_running_loop().time()
        activity.record_probe(liveness, now)
        silent_s = activity.silent_s(now)
        if activity.reported or silent_s < engine_silence.PROBE_AFTER_S:
            return
        activity.reported = True
        self._metrics.engine_silences.inc(
            {"pool": endpoint.pool, "liveness": liveness.value}
        )
        self._log.warning(
            "engine_silent",
            endpoint=endpoint.id,
            silent_ms=round(silent_s * _MS_PER_S),
            calls=activity.calls,
            liveness=liveness.value,
        )


class CallWatch:
    """Silence policy of one call to an engine.

    Args:
      monitor: Knows of the other calls to the engine.
      endpoint: The engine.
      first_answer_s: How long the engine may serve others before it begins to
        answer the call, in seconds.
    """

    def __init__(
        self,
        monitor: SilenceMonitor,
        endpoint: model.Endpoint,
        first_answer_s: float,
    ) -> None:
        self._monitor = monitor
        self._endpoint = endpoint
        self._patience_s = first_answer_s
        self._heard_at = 0.0
        self._in_progress = False

    def begin(self, now: float) -> None:
        """Starts to count the time without data."""
        self._heard_at = now
        self._in_progress = True
        self._monitor.activity(self._endpoint.id).begin_call(now)

    def hear(self, now: float) -> None:
        """Records data of this call."""
        self._heard_at = now
        self._patience_s = engine_silence.STREAM_PAUSE_MAX_S
        if self._in_progress:
            self._monitor.hear(self._endpoint, now)

    def excuse(self, standstill_s: float) -> None:
        """Doesn't count the time for which this process stood still."""
        self._heard_at += standstill_s

    def check(self, now: float) -> engine_silence.Verdict:
        """Decides whether the call goes on."""
        evidence = self._evidence(now)
        silent = evidence.silent_s >= engine_silence.PROBE_AFTER_S
        if silent and evidence.liveness is None:
            self._monitor.probe(self._endpoint)
        return engine_silence.judge(evidence)

    def describe(self, now: float) -> str:
        """Returns the evidence as text."""
        evidence = self._evidence(now)
        return (
            f"no data received for {now - self._heard_at:.1f} s, "
            f"the engine: {evidence.liveness}"
        )

    def end(self) -> None:
        """Records the end of this call."""
        if self._in_progress:
            self._in_progress = False
            self._monitor.end_call(self._endpoint.id)

    def _evidence(self, now: float) -> engine_silence.Evidence:
        activity = self._monitor.activity(self._endpoint.id)
        return engine_silence.Evidence(
            silent_s=now - max(self._heard_at, activity.spoke_again_at),
            liveness=activity.liveness(now),
            patience_s=self._patience_s,
        )
