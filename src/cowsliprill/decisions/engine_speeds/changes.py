"""Selects the changes of engines' speeds that are worth a log line."""

import dataclasses
import math
from collections.abc import Iterable

from cowsliprill.decisions import model

# Ratio of an engine's relative speed to the one last logged from which the
# change is logged. Random variation of equal engines stays below it.
_CLEAR_RATIO = 1.3

# Minimum time between two log lines about one engine.
_ENGINE_INTERVAL_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SpeedChange:
    """A clear change of an engine's speed.

    Attributes:
      endpoint_id: Id of the engine.
      role: Its role, the stage whose speed has changed.
      relative_speed: Its speed relative to its pool, 1.0 if equal.
      previous: The relative speed logged before.
    """

    endpoint_id: str
    role: model.EndpointKind
    relative_speed: float
    previous: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Logged:
    relative_speed: float = 1.0
    at: float = -math.inf


class SpeedChanges:
    """Remembers the speeds that were logged."""

    def __init__(self) -> None:
        self._logged_by_incarnation: dict[tuple[str, str], _Logged] = {}

    def next_change(
        self, speeds: Iterable[tuple[model.Endpoint, float]], now: float
    ) -> SpeedChange | None:
        """Returns the largest change that isn't logged yet, None without one.

        The caller logs it.

        Args:
          speeds: All engines and their relative speeds. Others are forgotten.
          now: Current time in seconds.
        """
        speeds = list(speeds)
        self._logged_by_incarnation = {
            endpoint.incarnation: self._logged(endpoint)
            for endpoint, _ in speeds
        }
        due = [
            item
            for item in speeds
            if now - self._logged(item[0]).at >= _ENGINE_INTERVAL_S
            and self._ratio(*item) >= _CLEAR_RATIO
        ]
        if not due:
            return None
        endpoint, speed = max(due, key=lambda item: self._ratio(*item))
        previous = self._logged(endpoint).relative_speed
        self._logged_by_incarnation[endpoint.incarnation] = _Logged(speed, now)
        return SpeedChange(
            endpoint_id=endpoint.id,
            role=endpoint.kind,
            relative_speed=speed,
            previous=previous,
        )

    def _logged(self, endpoint: model.Endpoint) -> _Logged:
        return self._logged_by_incarnation.get(endpoint.incarnation, _Logged())

    def _ratio(self, endpoint: model.Endpoint, speed: float) -> float:
        ratio = speed / self._logged(endpoint).relative_speed
        return max(ratio, 1 / ratio)
