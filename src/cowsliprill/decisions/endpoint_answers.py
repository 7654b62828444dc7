"""What answers of endpoints say about the endpoints themselves."""

import dataclasses
import datetime
import email.utils
import re

from cowsliprill import errors
from cowsliprill.decisions import model

_LEAVING = "1"

# A decimal number of seconds without a sign or an exponent (RFC 9110 allows
# whole seconds only).
_SECONDS = re.compile(r"(\d{1,12}(\.\d{0,30})?|\.\d{1,30})", re.ASCII)
_MAX_QUOTED_CHARACTERS = 40


class InvalidRetryAfterError(errors.CowsliprillError):
    """Raised for a text that is neither a number of seconds nor a date."""

    code = "invalid_retry_after"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """What an endpoint's answer says about the endpoint.

    Attributes:
      endpoint: The endpoint.
      sent_at: When the request was sent to the endpoint, in seconds.
      limit_text: Rate limit as the endpoint wrote it, None if it named none.
      conclusive: Whether an answer without a limit proves that there is none.
      leaving: Whether the endpoint says that it is leaving.
      retry_after: Text in which an endpoint that turned the request away says
        for how long it wants no requests, None if it doesn't.
      date: Date of the answer as the endpoint wrote it, None if it wrote none.
      accepted: Whether the endpoint took the request, as it takes any.
    """

    endpoint: model.Endpoint
    sent_at: float
    limit_text: str | None = None
    conclusive: bool = True
    leaving: bool = False
    retry_after: str | None = None
    date: str | None = None
    accepted: bool = False


def parse_leaving(text: str | None) -> bool:
    """Returns whether the value of a header says that an endpoint leaves.

    Args:
      text: Value of the header, several joined by commas; None if absent.
    """
    return _LEAVING in (part.strip() for part in (text or "").split(","))


def parse_retry_after(text: str, date: str | None) -> float:
    """Parses for how long an endpoint wants no requests.

    Args:
      text: Seconds as a decimal number, or a date (RFC 9110, 10.2.3).
      date: Date of the answer, None if it has none. The endpoint's clock may
        differ from ours, so its dates are only compared with each other.

    Returns:
      Seconds, at least 0.

    Raises:
      InvalidRetryAfterError: The text is neither, or it is a date and the
        answer has none.
    """
    if _SECONDS.fullmatch(text.strip()):
        return float(text)
    try:
        until, answered_at = _parse_date(text), _parse_date(date or "")
    except (TypeError, ValueError) as error:
        quoted = text[:_MAX_QUOTED_CHARACTERS]
        raise InvalidRetryAfterError(
            f"neither seconds nor a date: {quoted!r}"
        ) from error
    return max((until - answered_at).total_seconds(), 0.0)


def _parse_date(text: str) -> datetime.datetime:
    """Parses an HTTP date.

    Raises:
      ValueError: The text is no date with a time zone.
    """
    date = email.utils.parsedate_to_datetime(text)
    if date.tzinfo is None:
        raise ValueError(f"no time zone: {text!r}")
    return date
