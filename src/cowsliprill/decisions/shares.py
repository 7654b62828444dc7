"""Users' shares, looked up one by one."""

from collections.abc import Iterator
from collections.abc import Mapping

from cowsliprill.decisions import model


class Shares(Mapping[str, float]):
    """The share of each user of the settings.

    Users are kept packed. Copying the shares of all of them reads tens of
    thousands at every change of the settings, for the few whose requests wait.

    Args:
      users_by_id: Users of the settings.
    """

    def __init__(self, users_by_id: Mapping[str, model.User]) -> None:
        self._users_by_id = users_by_id

    def __getitem__(self, user_id: str) -> float:
        """Returns a user's share.

        Raises:
          KeyError: The settings name no such user.
        """
        return self._users_by_id[user_id].share

    def __iter__(self) -> Iterator[str]:
        return iter(self._users_by_id)

    def __len__(self) -> int:
        return len(self._users_by_id)
