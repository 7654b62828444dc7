"""Stand-in of one engine, for prefill or decode."""

import asyncio
import time
from typing import Any

from cowsliprill.decisions import model
from cowsliprill.engines import errors
from cowsliprill.engines import http_client
from cowsliprill.engines import model as engine_model
from cowsliprill.engines import prompt_blocks
from cowsliprill.engines import protocol
from cowsliprill.standins import engine_command
from cowsliprill.standins import engine_memory
from cowsliprill.standins import event_writer
from cowsliprill.standins import misbehaviour as misbehaviour_lib
from cowsliprill.standins import turns

_DEFAULT_MAX_TOKENS = 16
_TRANSFER_TIMEOUT_S = 30.0
_MAX_KV_BYTES = 1_073_741_824
_Stage = engine_memory.RequestStage


class Engine:
    """The stand-in's state and work.

    Args:
      command: Its configuration.

    Attributes:
      command: Its configuration.
      memory: What it holds.
      conduct: Its misbehaviour.
      order: What it was ordered to be.
      report: Its lagging load report.
    """

    def __init__(self, command: engine_command.EngineCommand) -> None:
        self.command = command
        self.memory = engine_memory.Memory(
            command.slots, command.kv_blocks, command.cache_blocks
        )
        self.conduct = misbehaviour_lib.Conduct()
        self.order = engine_model.EngineOrder(
            fencing=0,
            target=model.EngineTarget(
                role=model.EndpointKind(command.role), model=command.model
            ),
        )
        self.report = self._load()
        self._http = http_client.HttpClient()
        self._turns = turns.Turns()
        self._tasks: set[asyncio.Task[None]] = set()
        self._link = turns.Turns()

    def start(self) -> None:
        """Starts the task that refreshes the load report."""
        self._spawn(self._refresh_report())

    async def stop(self) -> None:
        """Stops all work."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._http.close()

    async def prefill(
        self,
        request: engine_memory.Request,
        body: dict[str, Any],
        conduct: misbehaviour_lib.Misbehaviour,
    ) -> None:
        """Computes a prompt and leaves its KV cache for export.

        Args:
          request: The admitted request; its stage tells the outcome.
          body: The request's body.
          conduct: What to do wrong.
        """
        salt = str(body.get(prompt_blocks.SALT_FIELD, ""))
        hashes = prompt_blocks.block_hashes(request.text, salt)
        await self._turns.acquire(int(body.get("priority", 0)))
        try:
            cached = (
                self.memory.count_cached(hashes) * prompt_blocks.BLOCK_TOKENS
            )
            tokens = max(request.prompt_tokens - cached, 1)
            seconds = tokens / self.command.prefill_tokens_per_s
            await self._work(request, seconds * conduct.slow_factor)
        finally:
            self._turns.release()
        if request.stage is not _Stage.PREFILL:
            return
        self.memory.store(hashes)
        await request.move(_Stage.EXPORTED)
        self._spawn(self._evict(request))

    async def fetch(
        self, request: engine_memory.Request, transfer: dict[str, Any]
    ) -> bool:
        """Fetches the KV cache from the prefill engine.

        Args:
          request: The admitted request.
          transfer: Its `kv_transfer_params`.

        Returns:
          Whether all of it came, and the request wasn't cancelled meanwhile.
        """
        fetching = asyncio.create_task(self._fetch(request, transfer))
        watching = asyncio.create_task(request.left(_Stage.TRANSFER))
        await asyncio.wait(
            {fetching, watching}, return_when=asyncio.FIRST_COMPLETED
        )
        for task in (fetching, watching):
            task.cancel()
        await asyncio.gather(fetching, watching, return_exceptions=True)
        fetched = not fetching.cancelled() and fetching.result()
        if request.stage is not _Stage.TRANSFER:
            return False
        if not fetched:
            await request.move(_Stage.FAILED)
            return False
        await request.move(_Stage.DECODE)
        return True

    def generate(
        self,
        request: engine_memory.Request,
        body: dict[str, Any],
        conduct: misbehaviour_lib.Misbehaviour,
    ) -> None:
        """Starts to generate the tokens, whether or not anyone listens.

        Args:
          request: The admitted request.
          body: The request's body.
          conduct: What to do wrong.
        """
        self._spawn(self._generate(request, body, conduct))

    async def pace_link(self, size: float) -> None:
        """Waits until so many bytes may leave by the link."""
        await self._link.acquire(0)
        try:
            await asyncio.sleep(size / self.command.link_bytes_per_s)
        finally:
            self._link.release()

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _load(self) -> engine_model.LoadReport:
        used = self.memory.used_blocks()
        return engine_model.LoadReport(
            running=self.memory.used_slots(),
            waiting=0,
            kv_usage=used / self.memory.blocks,
            slots=self.memory.slots,
        )

    async def _refresh_report(self) -> None:
        while True:
            self.report = self._load()
            await asyncio.sleep(self.command.report_lag_s)

    async def _work(
        self, request: engine_memory.Request, seconds: float
    ) -> None:
        stage = request.stage
        try:
            await asyncio.wait_for(request.left(stage), seconds)
        except TimeoutError:
            pass

    async def _evict(self, request: engine_memory.Request) -> None:
        await asyncio.sleep(self.command.export_ttl_s)
        if request.stage is _Stage.EXPORTED:
            await request.move(_Stage.EVICTED)

    async def _fetch(
        self, request: engine_memory.Request, transfer: dict[str, Any]
    ) -> bool:
        try:
            response = await self._http.call(
                str(transfer["remote_host"]),
                int(transfer["remote_port"]),
                "GET",
                protocol.KV_PATH + str(transfer["remote_handle"]),
                {protocol.REQUEST_ID_HEADER: request.request_id},
                timeout_s=_TRANSFER_TIMEOUT_S,
            )
            try:
                async for _ in response.chunks():
                    pass
            finally:
                response.close()
        except errors.CallError:
            return False
        ok = 200
        return response.status == ok

    async def _generate(
        self,
        request: engine_memory.Request,
        body: dict[str, Any],
        conduct: misbehaviour_lib.Misbehaviour,
    ) -> None:
        count = int(body.get("max_tokens", _DEFAULT_MAX_TOKENS))
        seconds = self.command.seconds_per_token * conduct.slow_factor
        writer = event_writer.EventWriter(request, body, count, conduct)
        due = time.monotonic()
        for number in range(1, count + 1):
            due += seconds
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if conduct.stall_at_token == number - 1:
                await request.left(_Stage.DECODE)
            if request.stage is not _Stage.DECODE:
                return
            await request.add(writer.event(number))
        await request.move(_Stage.FINISHED)
