"""Paths to endpoints for tests of the filters that depend on them."""

from cowsliprill.decisions import model


class FakePaths:
    """Implements the methods of `path_monitor.PathMonitor` for filters.

    Attributes:
      lost: Whether no endpoint can be reached.
      examined: Endpoints that were examined after a failure.
    """

    def __init__(self) -> None:
        self.lost = False
        self.examined: list[str] = []

    def is_lost(self, pool: str) -> bool:
        del pool
        return self.lost

    def is_cut_off(self) -> bool:
        return self.lost

    async def examine(self, endpoint: model.Endpoint) -> None:
        self.examined.append(endpoint.id)
