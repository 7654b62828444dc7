"""Reads what the platform's engines run and keep."""

import asyncio
from typing import Any

from cowsliprill import codec
from cowsliprill.decisions import model
from cowsliprill.decisions import stream_evidence
from cowsliprill.engines import errors
from cowsliprill.engines import http_client
from cowsliprill.platform import headers as headers_lib

_CONNECT_TIMEOUT_S = 0.15
# Streams that callers resume wait for the answers.
_TIMEOUT_S = 0.5
_MAX_BYTES = 4_194_304
_OK = 200


class EngineContentsReader:
    """Reads the contents of single engines.

    Args:
      client: HTTP client.
    """

    def __init__(self, client: http_client.HttpClient) -> None:
        self._http = client

    async def read(
        self, endpoint: model.Endpoint
    ) -> stream_evidence.EngineContents:
        """Returns what an engine runs and keeps.

        Raises:
          errors.CallError: The engine didn't answer, or not as expected.
        """
        report, listing = await asyncio.gather(
            self._get(endpoint, "/report"), self._get(endpoint, "/kv-list")
        )
        try:
            return stream_evidence.EngineContents(
                version=endpoint.software_version,
                attempts=frozenset(str(run[0]) for run in report["runs"]),
                tokens_by_part={
                    str(part_id).lower(): int(tokens)
                    for _, part_id, tokens, *_ in listing["held"]
                },
            )
        except (
            ArithmeticError,
            LookupError,
            RecursionError,
            TypeError,
            ValueError,
        ) as error:
            raise errors.EngineFailed(
                f"unexpected contents: {error!r}"
            ) from error

    async def _get(self, endpoint: model.Endpoint, path: str) -> Any:
        response = await self._http.call(
            endpoint.host,
            endpoint.port,
            "GET",
            path,
            {headers_lib.EXPECTED_INSTANCE: endpoint.id},
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            timeout_s=_TIMEOUT_S,
            new_connection=True,
        )
        body = await response.read(_MAX_BYTES)
        if response.status != _OK:
            raise errors.EngineFailed(f"{path}: status {response.status}")
        try:
            return codec.load_json(body)
        except ValueError as error:
            raise errors.EngineFailed(f"{path}: {error}") from error
