"""An HTTP/1.1 client whose calls can be cancelled at any time.

tornado's `AsyncHTTPClient.fetch` can't be cancelled before its first chunk and
queues silently beyond `max_clients`. A caller that leaves would go on holding
an engine's memory. So the connection is owned here: tornado's `TCPClient` and
`HTTP1Connection` do the protocol, and closing the socket ends a call at once.
"""

import asyncio
import collections
import dataclasses
import re
import socket
import weakref
from collections.abc import Mapping
from typing import Any

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import netutil
from tornado import tcpclient

from cowsliprill.decisions import call_state as call_lib
from cowsliprill.decisions import connection_limits
from cowsliprill.engines import errors
from cowsliprill.engines import exchange as exchange_lib

_READ_BYTES = 16_384
_MAX_HEADER_BYTES = 16_384
# tornado allocates half of this for each read, however little comes. Tokens
# are small, and one chunk may be read beyond what was asked for.
_MAX_STREAM_BYTES = 2 * _READ_BYTES
_MAX_BODY_BYTES = 2**40
_MAX_IDLE_PER_ENDPOINT = 64
_IDLE_S = 30.0

# Part of the time for which an endpoint says it keeps an idle connection. A
# request that goes out as the endpoint closes it is cut, and may have run.
_STATED_IDLE_PART = 0.8
_STATED_IDLE = re.compile(r"\btimeout=(\d{1,6})\b")
# Probes of a connection that rests: the first after a second, then each second;
# two without an answer end it. A healthy peer's kernel answers at once.
_KEEP_ALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
    (socket.TCP_USER_TIMEOUT, 3_000),
)
_TARGET = re.compile(r"[!-~]+")
_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")

_PARAMETERS = http1connection.HTTP1ConnectionParameters(
    no_keep_alive=False,
    chunk_size=_READ_BYTES,
    max_header_size=_MAX_HEADER_BYTES,
    max_body_size=_MAX_BODY_BYTES,
)


_Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Idle:
    stream: iostream.IOStream
    expiry: asyncio.TimerHandle


@dataclasses.dataclass(frozen=True, slots=True)
class Connection:
    """A connection that no call has used yet.

    Attributes:
      stream: tornado's stream.
    """

    stream: iostream.IOStream

    def close(self) -> None:
        """Closes it, unless a call has ended it before."""
        self.stream.close()


class _NumericResolver(netutil.Resolver):
    """Takes IP numbers as they are.

    tornado's own resolver asks a thread for each connection, and a name that
    a slow name server must resolve would hold up calls.
    """

    async def resolve(
        self,
        host: str,
        port: int,
        family: socket.AddressFamily = socket.AF_UNSPEC,
    ) -> list[tuple[int, Any]]:
        found = socket.getaddrinfo(
            host,
            port,
            family,
            socket.SOCK_STREAM,
            flags=socket.AI_NUMERICHOST,
        )
        return [(entry[0], entry[4]) for entry in found]


class HttpClient:
    """Calls endpoints over pooled connections.

    There is no queue: a call starts at once or fails. How many may run is for
    the slot leases to say.

    Attributes:
      limits_by_address: Connections at most, where an endpoint bounds them.
    """

    def __init__(self) -> None:
        self._tcp = tcpclient.TCPClient(_NumericResolver())
        self.limits_by_address: Mapping[
            _Address, connection_limits.ConnectionLimits
        ] = {}
        self._idle_by_address: dict[_Address, list[_Idle]] = {}
        self._connecting_by_address: collections.Counter[_Address] = (
            collections.Counter()
        )
        self._open_by_address: dict[
            _Address, weakref.WeakSet[iostream.IOStream]
        ] = {}
        self._readers: set[asyncio.Task[None]] = set()

    async def call(
        self,
        host: str,
        port: int,
        method: str,
        path: str,
        headers: Mapping[str, str] | httputil.HTTPHeaders,
        body: bytes = b"",
        *,
        connect_timeout_s: float = 1.0,
        timeout_s: float = 120.0,
        stall_s: float | None = None,
        fresh: bool = False,
        allow_unframed: bool = False,
        connection: Connection | None = None,
        progress: call_lib.CallProgress | None = None,
    ) -> exchange_lib.Response:
        """Sends a request and waits for the answer's status and headers.

        Cancelling the calling task closes the connection.

        Args:
          host: IP number.
          port: TCP port.
          method: HTTP method.
          path: Path and query.
          headers: Headers besides `Host` and `Content-Length`.
          body: The body.
          connect_timeout_s: Time for the connection.
          timeout_s: Time for the whole call, the answer's body included.
          stall_s: Time without a byte after which the call fails.
          fresh: Whether to open a new connection. An endpoint may close an
            idle one just as a request goes out on it, which leaves unknown
            whether that was run.
          allow_unframed: Whether an answer without a length ends with the
            connection; otherwise such an answer counts as cut.
          connection: A connection that `connect` opened, to be used for this
            call alone.
          progress: Told how far the call got, for use after a cancel.

        Returns:
          The response.

        Raises:
          errors.CallError: There was no answer; `run` says what is known.
        """
        progress = progress or call_lib.CallProgress()
        all_headers = _headers(headers, (host, port), len(body))
        if not _is_well_formed(method, path, all_headers):
            raise errors.CallError(
                f"malformed request: {method} {path!r}", run=progress.run
            )
        if connection is not None:
            stream = connection.stream
        else:
            stream = None if fresh else self._take_idle((host, port))
        if stream is None:
            stream = await self._connect(host, port, connect_timeout_s)
        exchange = exchange_lib.Exchange(stream, method)
        exchange.allow_unframed = allow_unframed
        try:
            writing = _write(
                stream, (method, path, all_headers, body), progress
            )
            exchange.start_timers(timeout_s, stall_s)
            self._read(writing, exchange, (host, port))
            await exchange.wait_for_head()
        except BaseException:
            exchange.fail(errors.CallError("call given up"))
            stream.close()
            raise
        return exchange_lib.Response(exchange)

    async def connect(
        self, host: str, port: int, timeout_s: float
    ) -> Connection:
        """Opens a connection for a later call.

        Args:
          host: IP number.
          port: TCP port.
          timeout_s: Time for it.

        Returns:
          The connection; whoever doesn't use it closes it.

        Raises:
          errors.ConnectFailed: No connection came about.
        """
        return Connection(await self._connect(host, port, timeout_s))

    def idle_count(self) -> int:
        """Counts the idle connections that are kept."""
        return sum(len(idle) for idle in self._idle_by_address.values())

    def close(self) -> None:
        """Closes the idle connections; calls in progress go on."""
        for idle in list(self._idle_by_address.values()):
            for entry in list(idle):
                entry.stream.close()
        self._tcp.close()

    async def _connect(
        self, host: str, port: int, timeout_s: float
    ) -> iostream.IOStream:
        address = (host, port)
        self._make_room(address)
        self._connecting_by_address[address] += 1
        try:
            stream = await self._connected(host, port, timeout_s)
        finally:
            self._connecting_by_address[address] -= 1
            if not self._connecting_by_address[address]:
                del self._connecting_by_address[address]
        if address in self.limits_by_address:
            self._open_by_address.setdefault(address, weakref.WeakSet()).add(
                stream
            )
        return stream

    def _make_room(self, address: _Address) -> None:
        """Sees to it that one more connection isn't one too many.

        Raises:
          errors.ConnectionsSpent: All that may be open are in use.
        """
        limits = self.limits_by_address.get(address)
        if limits is None:
            return
        idle = self._idle_by_address.get(address, [])
        match limits.plan_open(self._connections(address), len(idle)):
            case connection_limits.OpenAction.CLOSE_IDLE_FIRST:
                oldest = idle.pop(0)
                oldest.expiry.cancel()
                oldest.stream.close()
            case connection_limits.OpenAction.REFUSE:
                host, port = address
                raise errors.ConnectionsSpent(
                    f"{host}:{port}: all {limits.connections} connections"
                    " are in use"
                )

    def _connections(self, address: _Address) -> int:
        """Counts the connections, those being opened included."""
        streams = self._open_by_address.get(address, ())
        opened = sum(not stream.closed() for stream in streams)
        return opened + self._connecting_by_address[address]

    async def _connected(
        self, host: str, port: int, timeout_s: float
    ) -> iostream.IOStream:
        connecting = asyncio.ensure_future(
            self._tcp.connect(
                host,
                port,
                timeout=timeout_s,
                max_buffer_size=_MAX_STREAM_BYTES,
            )
        )
        try:
            # A cancel that meets a connection which has just come about would
            # lose the stream and leave it open. So connecting goes on by
            # itself, for `timeout_s` at most, and is then closed.
            stream = await asyncio.shield(connecting)
        except asyncio.CancelledError:
            connecting.add_done_callback(_close_unclaimed)
            raise
        except (OSError, iostream.StreamClosedError) as error:
            raise errors.ConnectFailed(f"{host}:{port}: {error}") from error
        stream.set_nodelay(True)
        _keep_alive(stream.socket)
        return stream

    def _take_idle(self, address: _Address) -> iostream.IOStream | None:
        idle = self._idle_by_address.get(address, [])
        while idle:
            newest = idle.pop()
            newest.expiry.cancel()
            newest.stream.set_close_callback(None)
            if _is_quiet(newest.stream):
                return newest.stream
            newest.stream.close()
        return None

    def _keep_idle(
        self, stream: iostream.IOStream, address: _Address, idle_s: float
    ) -> None:
        idle = self._idle_by_address.setdefault(address, [])
        if not self._may_idle(address, len(idle)):
            stream.close()
            return
        loop = asyncio.get_running_loop()
        idle.append(_Idle(stream, loop.call_later(idle_s, stream.close)))
        # Listening for the close tells at once when the endpoint hangs up, so
        # that a dead connection is hardly ever taken for the next call.
        stream.set_close_callback(lambda: self._drop_idle(stream, address))

    def _may_idle(self, address: _Address, idle: int) -> bool:
        limits = self.limits_by_address.get(address)
        if limits is None:
            return idle < _MAX_IDLE_PER_ENDPOINT
        return limits.keeps_idle(self._connections(address), idle)

    def _drop_idle(self, stream: iostream.IOStream, address: _Address) -> None:
        idle = self._idle_by_address.get(address, [])
        for entry in idle:
            if entry.stream is stream:
                entry.expiry.cancel()
                idle.remove(entry)
                break
        if not idle:
            self._idle_by_address.pop(address, None)

    def _read(
        self,
        connection: http1connection.HTTP1Connection,
        exchange: exchange_lib.Exchange,
        address: _Address,
    ) -> None:
        task = asyncio.create_task(
            self._read_answer(connection, exchange, address)
        )
        self._readers.add(task)
        task.add_done_callback(self._readers.discard)

    async def _read_answer(
        self,
        connection: http1connection.HTTP1Connection,
        exchange: exchange_lib.Exchange,
        address: _Address,
    ) -> None:
        stream = connection.stream
        try:
            await connection.read_response(exchange)
        except (OSError, iostream.StreamClosedError) as error:
            exchange.fail(errors.CallError(f"connection lost: {error}"))
        except iostream.UnsatisfiableReadError as error:
            exchange.fail(errors.CallError(f"answer is malformed: {error}"))
        exchange.fail(errors.CallError("answer is malformed"))
        if exchange.whole and _may_keep(exchange, stream):
            self._keep_idle(stream, address, _idle_s(exchange.headers))
        else:
            stream.close()


def _keep_alive(connection: socket.socket) -> None:
    # A connection may fall silent for good: its peer has lost power, or the
    # network has forgotten it. Nothing would tell; a call on it would wait for
    # all of its time. The kernel's own probes end it within some seconds.
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in _KEEP_ALIVE_OPTIONS:
        connection.setsockopt(socket.IPPROTO_TCP, option, value)


def _close_unclaimed(connecting: asyncio.Future[iostream.IOStream]) -> None:
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result().close()


def _headers(
    headers: Mapping[str, str] | httputil.HTTPHeaders,
    address: _Address,
    length: int,
) -> httputil.HTTPHeaders:
    whole = httputil.HTTPHeaders(headers)
    if "Host" not in whole:
        whole["Host"] = f"{address[0]}:{address[1]}"
    whole["Content-Length"] = str(length)
    # An endpoint that went by the one header of length while we went by the
    # other would read a part of the body as a second request.
    whole.pop("Transfer-Encoding", None)
    return whole


def _is_well_formed(
    method: str, path: str, headers: httputil.HTTPHeaders
) -> bool:
    # A line end within a part of the head would make a second request of the
    # rest, for which nobody waits. Checked before anything is written, so that
    # "not run" can be said.
    return (
        _TOKEN.fullmatch(method) is not None
        and _TARGET.fullmatch(path) is not None
        and all(
            _TOKEN.fullmatch(name) and _VALUE.fullmatch(value)
            for name, value in headers.get_all()
        )
    )


def _write(
    stream: iostream.IOStream,
    request: tuple[str, str, httputil.HTTPHeaders, bytes],
    progress: call_lib.CallProgress,
) -> http1connection.HTTP1Connection:
    method, path, headers, body = request
    connection = http1connection.HTTP1Connection(stream, True, _PARAMETERS)
    start_line = httputil.RequestStartLine(method, path, "HTTP/1.1")
    if stream.closed():
        raise errors.ConnectFailed("connection closed before the request")
    progress.mark_writing()
    connection.write_headers(start_line, headers, body)
    connection.finish()
    return connection


def _may_keep(
    exchange: exchange_lib.Exchange, stream: iostream.IOStream
) -> bool:
    asked_to_close = exchange.headers.get("Connection", "").lower() == "close"
    return not asked_to_close and _is_quiet(stream)


def _idle_s(headers: httputil.HTTPHeaders) -> float:
    """Returns how long a connection is worth keeping after an answer."""
    stated = _STATED_IDLE.search(headers.get("Keep-Alive", ""))
    if stated is None:
        return _IDLE_S
    return min(int(stated[1]) * _STATED_IDLE_PART, _IDLE_S)


def _is_quiet(stream: iostream.IOStream) -> bool:
    # Bytes that nobody asked for, such as the late half of a doubled answer,
    # would be read as the answer of the next call on this connection. tornado
    # has no public way to see them.
    return not stream.closed() and not stream._read_buffer_size
