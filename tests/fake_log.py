"""Log that keeps its events for tests."""


class FakeLog:
    """Implements the methods of `log.Log` that components use.

    Attributes:
      events: Name and fields of each event.
    """

    def __init__(self) -> None:
        self.events: list[tuple[str, dict]] = []

    def event(self, name: str, **fields: object) -> None:
        self.events.append((name, fields))

    warning = event
