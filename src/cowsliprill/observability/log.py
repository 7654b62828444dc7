"""Structured logs: one line of key=value pairs for each event."""

import json
import logging
import sys
import time
from typing import Any
from typing import TextIO

from pythonjsonlogger import core

from cowsliprill.observability import writer

_LOGGER_NAME = "cowsliprill"
_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+@"
)


def _value(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    if text and all(character in _PLAIN for character in text):
        return text
    return json.dumps(text)


def serialize(record: dict[str, Any]) -> str:
    """Writes one record as key=value pairs.

    Args:
      record: Values by key.

    Returns:
      One line; a value with other than plain characters is quoted as JSON.
    """
    return " ".join(f"{key}={_value(value)}" for key, value in record.items())


class KeyValueFormatter(core.BaseJsonFormatter):
    """python-json-logger's base formatter with a key=value serializer."""

    def jsonify_log_record(self, log_data: core.LogData) -> str:
        """Returns the line of a record."""
        return serialize(dict(log_data))


class Log:
    """Writes events of one process.

    Args:
      process: Name that stands in every line, for example `entry.e0`.
      logger: Logger to write to.
    """

    def __init__(self, process: str, logger: logging.Logger) -> None:
        self._process = process
        self._logger = logger

    def event(self, name: str, **fields: Any) -> None:
        """Writes one event at level INFO.

        Args:
          name: Event's name in snake_case; listed in docs/OPERATIONS.md.
          **fields: Further pairs.
        """
        self._write(logging.INFO, name, fields)

    def warning(self, name: str, **fields: Any) -> None:
        """Writes one event at level WARNING; arguments as for `event`."""
        self._write(logging.WARNING, name, fields)

    def error(self, name: str, **fields: Any) -> None:
        """Writes one event at level ERROR; arguments as for `event`."""
        self._write(logging.ERROR, name, fields)

    def _write(self, level: int, name: str, fields: dict[str, Any]) -> None:
        pairs = {"process": self._process, "event": name, **fields}
        self._logger.log(level, name, extra={"pairs": pairs})


class _PairsFormatter(KeyValueFormatter):
    def process_log_record(self, log_data: core.LogData) -> core.LogData:
        pairs = log_data.pop("pairs", None)
        if isinstance(pairs, dict):
            log_data.pop("message", None)
            log_data.update(pairs)
        return log_data


def open_output(process: str, target: TextIO) -> tuple[Log, writer.Writer]:
    """Opens the log of a process whose reader may stop reading.

    Args:
      process: Name that stands in every line.
      target: Where to write, for example standard output.

    Returns:
      The log, and what writes it.
    """

    def note_dropped(lines: int) -> str:
        pairs = {
            "time": time.strftime("%Y-%m-%d %H:%M:%S"),
            "level": "WARNING",
            "process": process,
            "event": "log_lines_dropped",
            "lines": lines,
        }
        return serialize(pairs) + "\n"

    output = writer.Writer(target, note_dropped)
    return open_log(process, output), output


def open_log(process: str, stream: Any = None) -> Log:
    """Opens the log of this process on standard error.

    Args:
      process: Name that stands in every line.
      stream: Where to write instead, for tests.

    Returns:
      The log.
    """
    logger = logging.getLogger(f"{_LOGGER_NAME}.{process}")
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        _PairsFormatter(
            "{asctime}{levelname}{message}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level"},
        )
    )
    logger.handlers = [handler]
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return Log(process, logger)
