"""Tests of `observability.writer`."""

import io
import os
import threading

from cowsliprill.observability import log as log_lib
from cowsliprill.observability import writer


class TestWriter:
    """Whoever reads a process's log may stop reading."""

    def test_a_full_pipe_holds_nobody_up(self):
        """The reader of the log stands still and its pipe fills up.

        A blocking write would stop every request of the process. Lines are
        dropped instead, and once the reader goes on it learns how many.
        """
        reading, writing = os.pipe()
        with os.fdopen(writing, "w") as target:
            log, output = log_lib.open_output("router.test", target)
            for number in range(20_000):
                log.event("line", number=number, text="x" * 100)
            assert output.dropped > 0
            parts: list[bytes] = []
            reader = threading.Thread(
                target=lambda: parts.extend(iter(lambda: _read(reading), b""))
            )
            reader.start()
            output.drain(10)
            log.event("after", number=1)
            output.drain(10)
        reader.join(10)
        os.close(reading)
        text = b"".join(parts).decode()
        said = sum(
            int(line.rpartition("lines=")[2])
            for line in text.splitlines()
            if "event=log_lines_dropped" in line
        )
        assert said == output.dropped
        assert text.count("event=line ") == 20_000 - output.dropped
        assert "event=after" in text

    def test_a_reader_that_is_gone_ends_nothing(self):
        output = writer.Writer(_Gone(), lambda count: f"{count}\n")
        output.write("a line\n")
        output.drain(5)
        output.write("another\n")


class _Gone(io.TextIOBase):
    def write(self, text: str) -> int:
        raise BrokenPipeError


def _read(source: int) -> bytes:
    return os.read(source, 65_536)
