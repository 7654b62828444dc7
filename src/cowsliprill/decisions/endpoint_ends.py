"""Recognizes endpoints that disappear from the settings without leaving."""

from collections.abc import Mapping

from cowsliprill.decisions import model

# An end is remembered for this time, as reports of the lost requests may come
# from other VMs later.
_REMEMBERED_S = 30.0


class EndpointEnds:
    """Endpoints that have ended unplanned, by comparing successive settings."""

    def __init__(self) -> None:
        self._endpoints_by_id: Mapping[str, model.Endpoint] = {}
        self._leaving_ids: frozenset[str] = frozenset()
        self._ended_at_by_life: dict[tuple[str, str], float] = {}

    def update(
        self,
        endpoints_by_id: Mapping[str, model.Endpoint],
        leaving_ids: frozenset[str],
        now: float,
    ) -> None:
        """Applies new settings.

        Args:
          endpoints_by_id: All listed endpoints.
          leaving_ids: Ids of the endpoints that have announced to leave.
          now: Current time in seconds.
        """
        for endpoint_id, previous in self._endpoints_by_id.items():
            current = endpoints_by_id.get(endpoint_id)
            still_listed = current is not None and current.life == previous.life
            if not still_listed and endpoint_id not in self._leaving_ids:
                self._ended_at_by_life[endpoint_id, previous.life] = now
        for endpoint_id, endpoint in endpoints_by_id.items():
            # Listed again: the entry had only expired.
            self._ended_at_by_life.pop((endpoint_id, endpoint.life), None)
        self._ended_at_by_life = {
            key: ended_at
            for key, ended_at in self._ended_at_by_life.items()
            if now - ended_at < _REMEMBERED_S
        }
        self._endpoints_by_id = endpoints_by_id
        self._leaving_ids = leaving_ids

    def has_ended(self, endpoint_id: str, life: str) -> bool:
        """Returns whether an endpoint disappeared without leaving."""
        return (endpoint_id, life) in self._ended_at_by_life

    def is_listed(self, endpoint_id: str, life: str) -> bool:
        """Returns whether an endpoint is listed in this life."""
        endpoint = self._endpoints_by_id.get(endpoint_id)
        return endpoint is not None and endpoint.life == life
