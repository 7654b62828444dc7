"""Minimal HTTP/1.1 server and client on asyncio streams."""

import asyncio
import contextlib
import dataclasses
from urllib import parse


@dataclasses.dataclass
class Request:
    """A request that was read whole."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


async def _read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_body(reader, headers, *, until_close=False):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


def head(status, headers):
    """Returns a response head without a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def response(status, body=b"", headers=None):
    """Returns a whole response."""
    fields = {**(headers or {}), "Content-Length": len(body)}
    return head(status, fields) + body


async def serve(handle, host, port=0):
    """Serves `handle(request)`, which returns the response's bytes.

    It may write to `request.writer` itself and return b"", or return None to
    close the connection.
    """

    async def connected(reader, writer):
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                body = await _read_body(reader, headers)
                answer = await handle(
                    Request(
                        method,
                        path,
                        dict(parse.parse_qsl(query)),
                        headers,
                        body,
                        reader,
                        writer,
                    )
                )
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        writer.close()

    return await asyncio.start_server(connected, host, port, backlog=1024)


async def call(host, port, method, target, headers, body=b"", timeout_s=30.0):
    """Sends one request on a new connection.

    Returns:
      Status, headers and body; status 0 without an answer.
    """
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return 0, {}, b"no connection"
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        fields = {**headers, "Content-Length": len(body)}
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        async with asyncio.timeout(timeout_s):
            first, received = await _read_head(reader)
            payload = await _read_body(reader, received, until_close=True)
        return int(first.split(" ")[1]), received, payload
    except TimeoutError:
        return 0, {}, b"time limit"
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b"connection closed"
    finally:
        writer.close()
