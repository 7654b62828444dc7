"""Structured logging with one line of key=value pairs per event."""

import json
import logging
import sys
import time
from typing import Any
from typing import TextIO

from pythonjsonlogger import core

from cowsliprill.observability import writer

_LOGGER_NAME = "cowsliprill"
_UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+@"
)


def _format_value(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value, default=str)
    if text and all(character in _UNQUOTED_CHARACTERS for character in text):
        return text
    return json.dumps(text)


def serialize(record: dict[str, Any]) -> str:
    """Formats one record as key=value pairs.

    Args:
      record: Values by key.

    Returns:
      One line. Values that are empty or have characters other than ASCII
      letters, digits and `-_.:/+@` are quoted as JSON strings.
    """
    return " ".join(
        f"{key}={_format_value(value)}" for key, value in record.items()
    )


class KeyValueFormatter(core.BaseJsonFormatter):
    """Formatter of python-json-logger that writes key=value pairs."""

    def jsonify_log_record(self, log_data: core.LogData) -> str:
        """Returns the formatted line of a record."""
        return serialize(dict(log_data))


class Log:
    """Logs the events of one process.

    Args:
      process: Process name that each line has, for example `entry.e0`.
      logger: Logger that the events are written to.
    """

    def __init__(self, process: str, logger: logging.Logger) -> None:
        self._process = process
        self._logger = logger

    def event(self, name: str, **fields: Any) -> None:
        """Logs an event at level INFO.

        Args:
          name: Event name in snake_case; listed in docs/OPERATIONS.md.
          **fields: Further key=value pairs of the line.
        """
        self._write(logging.INFO, name, fields)

    def warning(self, name: str, **fields: Any) -> None:
        """Logs an event at level WARNING; takes the arguments of `event`."""
        self._write(logging.WARNING, name, fields)

    def error(self, name: str, **fields: Any) -> None:
        """Logs an event at level ERROR; takes the arguments of `event`."""
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


def open_nonblocking_log(
    process: str, target: TextIO
) -> tuple[Log, writer.NonBlockingWriter]:
    """Opens a log whose writes don't block when its reader stops reading.

    Args:
      process: Process name that each line has.
      target: Stream to write to, for example standard output.

    Returns:
      The log and the non-blocking writer of its lines.
    """

    def format_drop_notice(lines: int) -> str:
        pairs = {
            "time": time.strftime("%Y-%m-%d %H:%M:%S"),
            "level": "WARNING",
            "process": process,
            "event": "log_lines_dropped",
            "lines": lines,
        }
        return serialize(pairs) + "\n"

    output = writer.NonBlockingWriter(target, format_drop_notice)
    return open_log(process, output), output


def open_log(process: str, stream: Any = None) -> Log:
    """Opens the log of this process.

    Args:
      process: Process name that each line has.
      stream: Stream to write to; standard error if None.

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
