"""Tests of the non-blocking log writer in `observability.writer`."""

import io
import os
import threading

from cowsliprill.observability import log as log_lib
from cowsliprill.observability import writer


class TestWriter:
    """Tests of a log reader that stalls or disconnects."""

    def test_full_pipe_does_not_block_logging(self):
        """Guards against log writes that block the event loop.

        The log reader stalls and its pipe fills up. A blocking write would stop
        every request of the process, so lines are dropped instead. Once the
        reader resumes, the log reports the number of dropped lines.
        """
        read_fd, write_fd = os.pipe()
        with os.fdopen(write_fd, "w") as target:
            log, output = log_lib.open_nonblocking_log("router.test", target)
            for number in range(20_000):
                log.event("line", number=number, text="x" * 100)
            assert output.dropped > 0
            chunks: list[bytes] = []
            reader = threading.Thread(
                target=lambda: chunks.extend(iter(lambda: _read(read_fd), b""))
            )
            reader.start()
            output.drain(10)
            log.event("after", number=1)
            output.drain(10)
        reader.join(10)
        os.close(read_fd)
        text = b"".join(chunks).decode()
        reported = sum(
            int(line.rpartition("lines=")[2])
            for line in text.splitlines()
            if "event=log_lines_dropped" in line
        )
        assert reported == output.dropped
        assert text.count("event=line ") == 20_000 - output.dropped
        assert "event=after" in text

    def test_broken_pipe_is_ignored(self):
        output = writer.NonBlockingWriter(
            _BrokenPipe(), lambda count: f"{count}\n"
        )
        output.write("a line\n")
        output.drain(5)
        output.write("another\n")


class _BrokenPipe(io.TextIOBase):
    def write(self, text: str) -> int:
        raise BrokenPipeError


def _read(file_descriptor: int) -> bytes:
    return os.read(file_descriptor, 65_536)
