"""HTTP/1.1 client with connection pooling and cancellable calls.

tornado's `AsyncHTTPClient.fetch` can't be cancelled before the first chunk and
silently queues calls beyond `max_clients`, so a disconnected caller would keep
holding memory of an engine. This client therefore manages its connections on
top of tornado's `TCPClient` and `HTTP1Connection`; closing the socket ends a
call at once.
"""

import asyncio
import collections
import dataclasses
import re
import socket
import weakref
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import Protocol

from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import netutil
from tornado import tcpclient

from cowsliprill import buffer_budget
from cowsliprill.decisions import call_state as call_lib
from cowsliprill.decisions import connection_limits
from cowsliprill.engines import errors
from cowsliprill.engines import exchange as exchange_lib
from cowsliprill.engines import silence as silence_lib

_READ_CHUNK_BYTES = 16_384
_MAX_HEADER_BYTES = 16_384
# tornado allocates half of this for each read, even for a small token. Twice
# the read size leaves room for one chunk beyond the requested bytes.
_MAX_STREAM_BUFFER_BYTES = 2 * _READ_CHUNK_BYTES
# The kernel would hold up to 6 MB of a response that isn't read. It doubles
# this value.
_RECEIVE_BUFFER_BYTES = 131_072
_MAX_BODY_BYTES = 2**40
_MAX_IDLE_PER_ENDPOINT = 64
_IDLE_TIMEOUT_S = 30.0

# Turns of the event loop in which a connection that is established is known.
_LOOP_TURNS = 10

# A connect attempt outlives its timeout by this time in seconds. A process that
# stood still for less finds the connections that were established meanwhile.
_STALL_MAX_S = 1.0

# Fraction of the `Keep-Alive` timeout for which an idle connection is kept. A
# request sent while the endpoint closes the connection is lost, but may have
# been executed.
_KEEP_ALIVE_TIMEOUT_FRACTION = 0.8
_KEEP_ALIVE_TIMEOUT = re.compile(r"\btimeout=(\d{1,6})\b")
# TCP keep-alive: the first probe after one idle second, then one per second;
# two unanswered probes close the connection. The kernel of a healthy peer
# answers at once.
_KEEP_ALIVE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
    (socket.TCP_USER_TIMEOUT, 3_000),
)
_REQUEST_TARGET = re.compile(r"[!-~]+")
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")

_PARAMETERS = http1connection.HTTP1ConnectionParameters(
    no_keep_alive=False,
    chunk_size=_READ_CHUNK_BYTES,
    max_header_size=_MAX_HEADER_BYTES,
    max_body_size=_MAX_BODY_BYTES,
)


_Address = tuple[str, int]


class ConnectionObserver(Protocol):
    """Called with the outcome of each attempt to open a connection."""

    def __call__(self, address: _Address, *, connected: bool) -> None:
        """Records an outcome.

        Args:
          address: IP address and port.
          connected: Whether the connection was established.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class _IdleConnection:
    stream: iostream.IOStream
    expiry: asyncio.TimerHandle


@dataclasses.dataclass(frozen=True, slots=True)
class Connection:
    """An open connection that no call has used yet.

    Attributes:
      stream: tornado's stream for the socket.
    """

    stream: iostream.IOStream

    def close(self) -> None:
        """Closes the connection, if still open."""
        self.stream.close()


class _NumericResolver(netutil.Resolver):
    """Resolver that accepts only IP addresses.

    tornado's default resolver uses a thread per connection, and a slow name
    server would delay calls. Raises OSError for all other hosts and ports.
    """

    async def resolve(
        self,
        host: str,
        port: int,
        family: socket.AddressFamily = socket.AF_UNSPEC,
    ) -> list[tuple[int, Any]]:
        try:
            address_infos = socket.getaddrinfo(
                host,
                port,
                family,
                socket.SOCK_STREAM,
                flags=socket.AI_NUMERICHOST,
            )
        except (OverflowError, ValueError) as error:
            # Raised for hosts that IDNA can't encode and for huge ports.
            raise OSError(f"malformed address: {error}") from error
        return [(entry[0], entry[4]) for entry in address_infos]


class HttpClient:
    """Sends HTTP requests to endpoints over pooled connections.

    There is no queue: a call starts at once or fails. Slot leases limit the
    number of concurrent calls.

    Args:
      budget: Bound on the responses that are held unread, None for one of its
        own.

    Attributes:
      limits_by_address: Connection limits of the endpoints that have one.
      observe_connection: Receives the outcome of each connection attempt.
    """

    def __init__(
        self, budget: buffer_budget.BufferBudget | None = None
    ) -> None:
        self._budget = budget or buffer_budget.BufferBudget()
        self._tcp = tcpclient.TCPClient(_NumericResolver())
        self.limits_by_address: Mapping[
            _Address, connection_limits.ConnectionLimits
        ] = {}
        self.observe_connection: ConnectionObserver = _ignore_outcome
        self._idle_by_address: dict[_Address, list[_IdleConnection]] = {}
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
        silence: silence_lib.SilencePolicy | None = None,
        new_connection: bool = False,
        allow_close_delimited: bool = False,
        connection: Connection | None = None,
        progress: call_lib.CallProgress | None = None,
        before_send: Callable[[], None] | None = None,
    ) -> exchange_lib.Response:
        """Sends a request and waits for the status and headers of the response.

        Cancelling the calling task closes the connection.

        Args:
          host: IP address.
          port: TCP port.
          method: HTTP method.
          path: Path and query string.
          headers: Request headers; `Host` is added if absent, and
            `Content-Length` is always set.
          body: Request body.
          connect_timeout_s: Connect timeout in seconds.
          timeout_s: Timeout of the call in seconds, from sending the request to
            the end of the response body.
          silence: Decides what becomes of the call while it gets no data, None
            to wait for the timeout.
          new_connection: Whether to open a new connection. An endpoint may
            close an idle one just as a request is sent on it, which leaves
            unknown whether the request was executed.
          allow_close_delimited: Whether a clean close of the connection ends
            a response that has neither a length nor chunked encoding; otherwise
            such a response counts as truncated.
          connection: Unused connection from `connect` to send the request on.
          progress: Records how far the call got, to be read after a
            cancellation.
          before_send: Called once there is a connection, right before the
            request is written. A `errors.CallError` that it raises ends the
            call.

        Returns:
          The response.

        Raises:
          errors.CallError: No response was received; `run` tells whether the
            request was executed, as far as known.
        """
        progress = progress or call_lib.CallProgress()
        all_headers = _build_headers(headers, (host, port), len(body))
        if not _is_well_formed(method, path, all_headers):
            raise errors.CallError(
                f"malformed request: {method} {path!r}", run=progress.run
            )
        if connection is not None:
            stream = connection.stream
        else:
            stream = None if new_connection else self._pop_idle((host, port))
        if stream is None:
            stream = await self._connect(host, port, connect_timeout_s)
        exchange = exchange_lib.Exchange(stream, method, self._budget)
        exchange.allow_close_delimited = allow_close_delimited
        try:
            if before_send is not None:
                before_send()
            http_connection = _send_request(
                stream, (method, path, all_headers, body), progress
            )
            exchange.start_timers(timeout_s, silence)
            self._start_reader(http_connection, exchange, (host, port))
            await exchange.wait_for_headers()
        except BaseException:
            exchange.fail(errors.CallError("call abandoned"))
            stream.close()
            raise
        return exchange_lib.Response(exchange)

    async def connect(
        self, host: str, port: int, timeout_s: float
    ) -> Connection:
        """Opens a connection for a later call.

        Args:
          host: IP address.
          port: TCP port.
          timeout_s: Connect timeout in seconds.

        Returns:
          The connection, which the caller must close if unused.

        Raises:
          errors.ConnectFailed: The connection could not be established.
          errors.ConnectionLimitReached: All permitted ones are in use.
        """
        return Connection(await self._connect(host, port, timeout_s))

    def idle_count(self) -> int:
        """Returns the number of idle connections in the pool."""
        return sum(len(idle) for idle in self._idle_by_address.values())

    def close_idle(self, host: str, port: int) -> None:
        """Closes the idle connections to an endpoint that has restarted."""
        for entry in list(self._idle_by_address.get((host, port), ())):
            entry.stream.close()

    def close(self) -> None:
        """Closes the idle connections; calls in progress continue."""
        for idle in list(self._idle_by_address.values()):
            for entry in list(idle):
                entry.stream.close()
        self._tcp.close()

    async def _connect(
        self, host: str, port: int, timeout_s: float
    ) -> iostream.IOStream:
        address = (host, port)
        self._ensure_capacity(address)
        self._connecting_by_address[address] += 1
        try:
            stream = await self._open_connection(host, port, timeout_s)
        finally:
            self._connecting_by_address[address] -= 1
            if not self._connecting_by_address[address]:
                del self._connecting_by_address[address]
        if address in self.limits_by_address:
            self._open_by_address.setdefault(address, weakref.WeakSet()).add(
                stream
            )
        return stream

    def _ensure_capacity(self, address: _Address) -> None:
        """Closes the oldest idle connection if the limit requires it.

        Raises:
          errors.ConnectionLimitReached: All permitted connections are in use.
        """
        limits = self.limits_by_address.get(address)
        if limits is None:
            return
        idle = self._idle_by_address.get(address, [])
        match limits.plan_open(self._connection_count(address), len(idle)):
            case connection_limits.OpenAction.CLOSE_IDLE_FIRST:
                oldest = idle.pop(0)
                oldest.expiry.cancel()
                oldest.stream.close()
            case connection_limits.OpenAction.REFUSE:
                host, port = address
                raise errors.ConnectionLimitReached(
                    f"{host}:{port}: all {limits.connections} connections"
                    " are in use"
                )

    def _connection_count(self, address: _Address) -> int:
        """Counts the open connections and those being opened."""
        streams = self._open_by_address.get(address, ())
        opened = sum(not stream.closed() for stream in streams)
        return opened + self._connecting_by_address[address]

    async def _open_connection(
        self, host: str, port: int, timeout_s: float
    ) -> iostream.IOStream:
        connect_task = asyncio.ensure_future(
            self._tcp.connect(
                host,
                port,
                timeout=timeout_s + _STALL_MAX_S,
                max_buffer_size=_MAX_STREAM_BUFFER_BYTES,
            )
        )
        try:
            stream = await _wait_for_connection(connect_task, timeout_s)
        except asyncio.CancelledError:
            # A cancellation just as the connection is established would lose
            # the stream and leave the socket open. So the connect attempt
            # continues for a while, and its result is closed.
            connect_task.add_done_callback(_close_abandoned)
            raise
        except (OSError, iostream.StreamClosedError) as error:
            cause = _cause_of(error)
            self.observe_connection((host, port), connected=False)
            raise errors.ConnectFailed(
                f"{host}:{port}: {cause}",
                refused=isinstance(cause, ConnectionRefusedError),
            ) from error
        if stream.closed():
            # A host that resets a connection can be reached; it is full.
            raise errors.ConnectFailed(f"{host}:{port}: closed once connected")
        self.observe_connection((host, port), connected=True)
        stream.set_nodelay(True)
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        _enable_keep_alive(stream.socket)
        return stream

    def _pop_idle(self, address: _Address) -> iostream.IOStream | None:
        idle = self._idle_by_address.get(address, [])
        while idle:
            newest = idle.pop()
            newest.expiry.cancel()
            newest.stream.set_close_callback(None)
            if _is_open_without_data(newest.stream):
                return newest.stream
            newest.stream.close()
        return None

    def _add_idle(
        self,
        stream: iostream.IOStream,
        address: _Address,
        idle_timeout_s: float,
    ) -> None:
        idle = self._idle_by_address.setdefault(address, [])
        if not self._can_add_idle(address, len(idle)):
            stream.close()
            return
        loop = asyncio.get_running_loop()
        idle.append(
            _IdleConnection(
                stream, loop.call_later(idle_timeout_s, stream.close)
            )
        )
        # The callback removes a connection as soon as the endpoint closes it,
        # so that the next call hardly ever gets a closed connection.
        stream.set_close_callback(lambda: self._remove_idle(stream, address))

    def _can_add_idle(self, address: _Address, idle: int) -> bool:
        limits = self.limits_by_address.get(address)
        if limits is None:
            return idle < _MAX_IDLE_PER_ENDPOINT
        return limits.keeps_idle(self._connection_count(address), idle)

    def _remove_idle(
        self, stream: iostream.IOStream, address: _Address
    ) -> None:
        idle = self._idle_by_address.get(address, [])
        for entry in idle:
            if entry.stream is stream:
                entry.expiry.cancel()
                idle.remove(entry)
                break
        if not idle:
            self._idle_by_address.pop(address, None)

    def _start_reader(
        self,
        connection: http1connection.HTTP1Connection,
        exchange: exchange_lib.Exchange,
        address: _Address,
    ) -> None:
        task = asyncio.create_task(
            self._read_response(connection, exchange, address)
        )
        self._readers.add(task)
        task.add_done_callback(self._readers.discard)

    async def _read_response(
        self,
        connection: http1connection.HTTP1Connection,
        exchange: exchange_lib.Exchange,
        address: _Address,
    ) -> None:
        stream = connection.stream
        try:
            await connection.read_response(exchange)
        except (OSError, iostream.StreamClosedError) as error:
            cause = _cause_of(error)
            exchange.fail(
                errors.lost_connection(f"connection lost: {cause}", cause)
            )
        except iostream.UnsatisfiableReadError as error:
            exchange.fail(
                errors.MalformedResponse(f"malformed response: {error}")
            )
        exchange.fail(errors.MalformedResponse("malformed response"))
        if exchange.complete and _is_reusable(exchange, stream):
            self._add_idle(stream, address, _idle_timeout_s(exchange.headers))
        else:
            stream.close()


def _ignore_outcome(address: _Address, *, connected: bool) -> None:
    del address, connected


def _enable_keep_alive(connection: socket.socket) -> None:
    # A peer that loses power, or a network device that drops its connection
    # state, sends no notice; a call on the connection would wait for its full
    # timeout. TCP keep-alive probes close it within a few seconds.
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in _KEEP_ALIVE_OPTIONS:
        connection.setsockopt(socket.IPPROTO_TCP, option, value)


def _cause_of(error: Exception) -> BaseException:
    # tornado reports a failed connection as closed; the operating system's
    # error tells a refused connection from one that timed out.
    if isinstance(error, iostream.StreamClosedError) and error.real_error:
        return error.real_error
    return error


async def _wait_for_connection(
    connect_task: asyncio.Future[iostream.IOStream], timeout_s: float
) -> iostream.IOStream:
    """Waits for a connection; the attempt continues after a timeout.

    If the process has stood still, the connection may be established and the
    event loop not have handled it yet.

    Raises:
      OSError: The connection could not be established in time.
      tornado.iostream.StreamClosedError: It failed.
    """
    await asyncio.wait([connect_task], timeout=timeout_s)
    for _ in range(_LOOP_TURNS):
        if connect_task.done():
            return connect_task.result()
        await asyncio.sleep(0)
    connect_task.add_done_callback(_close_abandoned)
    raise TimeoutError("Timeout while connecting")


def _close_abandoned(connect_task: asyncio.Future[iostream.IOStream]) -> None:
    if not connect_task.cancelled() and connect_task.exception() is None:
        connect_task.result().close()


def _build_headers(
    headers: Mapping[str, str] | httputil.HTTPHeaders,
    address: _Address,
    length: int,
) -> httputil.HTTPHeaders:
    all_headers = httputil.HTTPHeaders(headers)
    if "Host" not in all_headers:
        all_headers["Host"] = f"{address[0]}:{address[1]}"
    all_headers["Content-Length"] = str(length)
    # Prevents request smuggling: an endpoint that uses the other of the two
    # headers would read a part of the body as a second request.
    all_headers.pop("Transfer-Encoding", None)
    return all_headers


def _is_well_formed(
    method: str, path: str, headers: httputil.HTTPHeaders
) -> bool:
    # Prevents request splitting: a line break in the request head would turn
    # the rest into a second request. The check runs before anything is sent, so
    # the request is known not to have been executed.
    return (
        _TOKEN.fullmatch(method) is not None
        and _REQUEST_TARGET.fullmatch(path) is not None
        and all(
            _TOKEN.fullmatch(name) and _HEADER_VALUE.fullmatch(value)
            for name, value in headers.get_all()
        )
    )


def _send_request(
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


def _is_reusable(
    exchange: exchange_lib.Exchange, stream: iostream.IOStream
) -> bool:
    close_requested = exchange.headers.get("Connection", "").lower() == "close"
    return not close_requested and _is_open_without_data(stream)


def _idle_timeout_s(headers: httputil.HTTPHeaders) -> float:
    """Returns how many seconds to keep a connection idle after a response."""
    keep_alive_timeout = _KEEP_ALIVE_TIMEOUT.search(
        headers.get("Keep-Alive", "")
    )
    if keep_alive_timeout is None:
        return _IDLE_TIMEOUT_S
    return min(
        int(keep_alive_timeout[1]) * _KEEP_ALIVE_TIMEOUT_FRACTION,
        _IDLE_TIMEOUT_S,
    )


def _is_open_without_data(stream: iostream.IOStream) -> bool:
    # Unsolicited bytes, such as those of a duplicate response, would be read as
    # the response to the next call on this connection. tornado has no public
    # way to detect them.
    return not stream.closed() and not stream._read_buffer_size
