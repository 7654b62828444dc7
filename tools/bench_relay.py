"""Minimal tornado relay that serves as the benchmark's baseline.

The relay calls the same engines as the router through tornado's HTTP client and
forwards the stream unchanged, without authentication, settings, slot leases,
stream validation or cancellation.
"""

import asyncio
import itertools
import json
import sys

from tornado import httpclient
from tornado import httpserver
from tornado import netutil
from tornado import web

from cowsliprill.engines import model as engine_model
from cowsliprill.engines import protocol
from cowsliprill.observability import log as log_lib

_HOST = "127.0.0.1"
_MAX_CLIENTS = 1_000
_TIMEOUT_S = 120.0
_PORT_LIST_COUNT = 2


class _Handler(web.RequestHandler):
    def initialize(
        self,
        client: httpclient.AsyncHTTPClient,
        prefills: "itertools.cycle[int]",
        decodes: "itertools.cycle[int]",
        numbers: "itertools.count[int]",
    ) -> None:
        self._client = client
        self._prefill = next(prefills)
        self._decode = next(decodes)
        self._request_id = f"bare.r.x.{next(numbers)}.0"

    async def post(self) -> None:
        body = json.loads(self.request.body)
        prefill_response = await self._fetch(
            self._prefill, protocol.prefill_body(body)
        )
        transfer_fields = json.loads(prefill_response.body)[
            "kv_transfer_params"
        ]
        params = engine_model.KvTransferParams(**transfer_fields)
        self.set_header("Content-Type", "text/event-stream")
        await self._fetch(
            self._decode, protocol.decode_body(body, params), self._write_chunk
        )

    async def _fetch(
        self, port: int, body: dict, streaming_callback=None
    ) -> httpclient.HTTPResponse:
        return await self._client.fetch(
            f"http://{_HOST}:{port}{protocol.COMPLETIONS_PATH}",
            method="POST",
            body=json.dumps(body),
            headers={protocol.REQUEST_ID_HEADER: self._request_id},
            streaming_callback=streaming_callback,
            request_timeout=_TIMEOUT_S,
        )

    def _write_chunk(self, chunk: bytes) -> None:
        self.write(chunk)
        self.flush()


def _disable_access_log(handler: web.RequestHandler) -> None:
    del handler


async def _serve(prefill_ports: list[int], decode_ports: list[int]) -> None:
    client = httpclient.AsyncHTTPClient(
        force_instance=True, max_clients=_MAX_CLIENTS
    )
    arguments = {
        "client": client,
        "prefills": itertools.cycle(prefill_ports),
        "decodes": itertools.cycle(decode_ports),
        "numbers": itertools.count(),
    }
    application = web.Application(
        [(protocol.COMPLETIONS_PATH, _Handler, arguments)],
        log_function=_disable_access_log,
    )
    sockets = netutil.bind_sockets(0, _HOST)
    server = httpserver.HTTPServer(application)
    server.add_sockets(sockets)
    log = log_lib.open_log("bench.relay")
    log.event("started", port=sockets[0].getsockname()[1])
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(
        _serve(
            *(
                [int(port) for port in argument.split(",")]
                for argument in sys.argv[1 : 1 + _PORT_LIST_COUNT]
            )
        )
    )
