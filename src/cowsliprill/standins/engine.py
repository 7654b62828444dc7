"""A fake inference engine for prefill or decode, without its HTTP interface."""

import asyncio
import json
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
from cowsliprill.standins import fault_injection
from cowsliprill.standins import turns

_DEFAULT_MAX_TOKENS = 16
_TRANSFER_TIMEOUT_S = 30.0
_MAX_KV_BYTES = 1_073_741_824
_Stage = engine_memory.RequestStage


class Engine:
    """A fake engine that simulates the time of prefill, transfer and decode.

    Args:
      command: The engine's configuration.

    Attributes:
      command: The engine's configuration.
      state: Slots, KV blocks, prefix cache and request log.
      faults: Injected faults.
      order: The last accepted order: target role, model and fencing token.
      report: The load report, refreshed every `report_lag_s` seconds.
    """

    def __init__(self, command: engine_command.EngineCommand) -> None:
        self.command = command
        self.state = engine_memory.EngineState(
            command.slots, command.kv_blocks, command.cache_blocks
        )
        self.faults = fault_injection.FaultInjector()
        self.order = engine_model.EngineOrder(
            fencing=0,
            target=model.EngineTarget(
                role=model.EndpointKind(command.role), model=command.model
            ),
        )
        self.report = self._current_load()
        self._http = http_client.HttpClient()
        self._prefill_lock = turns.PriorityLock()
        self._tasks: set[asyncio.Task[None]] = set()
        self._link_lock = turns.PriorityLock()

    def start(self) -> None:
        """Starts the task that refreshes the load report."""
        self._start_task(self._refresh_report())

    async def stop(self) -> None:
        """Cancels all tasks and closes the HTTP client."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._http.close()

    async def prefill(
        self,
        request: engine_memory.Request,
        body: dict[str, Any],
        faults: fault_injection.Faults,
    ) -> None:
        """Simulates a prefill and offers the prompt's KV cache for export.

        The outcome is the request's stage: `EXPORTED`, or another stage if the
        request was cancelled meanwhile.

        Args:
          request: The admitted request.
          body: The request's body.
          faults: Faults to inject.
        """
        salt = str(body.get(prompt_blocks.SALT_FIELD, ""))
        hashes = prompt_blocks.block_hashes(request.prompt, salt)
        await self._prefill_lock.acquire(int(body.get("priority", 0)))
        try:
            cached_tokens = (
                self.state.count_cached(hashes) * prompt_blocks.BLOCK_TOKENS
            )
            tokens = max(request.prompt_tokens - cached_tokens, 1)
            duration_s = tokens / self.command.prefill_tokens_per_s
            await self._simulate_work(request, duration_s * faults.slow_factor)
        finally:
            self._prefill_lock.release()
        if request.stage is not _Stage.PREFILL:
            return
        self.state.cache_prompt(hashes)
        await request.set_stage(_Stage.EXPORTED)
        self._start_task(self._evict_export(request))

    async def fetch_kv_cache(
        self, request: engine_memory.Request, transfer: dict[str, Any]
    ) -> bool:
        """Fetches the prompt's KV cache from the prefill engine.

        Args:
          request: The admitted request.
          transfer: The request's `kv_transfer_params`.

        Returns:
          Whether the transfer is complete and the request wasn't cancelled
          meanwhile.
        """
        fetch_task = asyncio.create_task(
            self._download_kv_cache(request, transfer)
        )
        cancel_task = asyncio.create_task(
            request.wait_until_left(_Stage.TRANSFER)
        )
        await asyncio.wait(
            {fetch_task, cancel_task}, return_when=asyncio.FIRST_COMPLETED
        )
        for task in (fetch_task, cancel_task):
            task.cancel()
        await asyncio.gather(fetch_task, cancel_task, return_exceptions=True)
        is_fetched = not fetch_task.cancelled() and fetch_task.result()
        if request.stage is not _Stage.TRANSFER:
            return False
        if not is_fetched:
            await request.set_stage(_Stage.FAILED)
            return False
        await request.set_stage(_Stage.DECODE)
        return True

    def start_decode(
        self,
        request: engine_memory.Request,
        body: dict[str, Any],
        faults: fault_injection.Faults,
    ) -> None:
        """Starts to generate output tokens in a background task.

        Generation doesn't depend on a client that reads the stream.

        Args:
          request: The admitted request.
          body: The request's body.
          faults: Faults to inject.
        """
        if self.command.ends_on:
            fault_injection.end_process_on(
                self.command.ends_on, json.dumps(body).encode()
            )
        self._start_task(self._generate(request, body, faults))

    async def throttle_link(self, size_bytes: float) -> None:
        """Waits as long as the outgoing link takes for `size_bytes`."""
        await self._link_lock.acquire(0)
        try:
            await asyncio.sleep(size_bytes / self.command.link_bytes_per_s)
        finally:
            self._link_lock.release()

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _current_load(self) -> engine_model.LoadReport:
        used_blocks = self.state.used_blocks()
        return engine_model.LoadReport(
            running=self.state.used_slots(),
            waiting=0,
            kv_usage=used_blocks / self.state.blocks,
            slots=self.state.slots,
        )

    async def _refresh_report(self) -> None:
        while True:
            self.report = self._current_load()
            await asyncio.sleep(self.command.report_lag_s)

    async def _simulate_work(
        self, request: engine_memory.Request, duration_s: float
    ) -> None:
        stage = request.stage
        try:
            await asyncio.wait_for(request.wait_until_left(stage), duration_s)
        except TimeoutError:
            pass

    async def _evict_export(self, request: engine_memory.Request) -> None:
        await asyncio.sleep(self.command.export_ttl_s)
        if request.stage is _Stage.EXPORTED:
            await request.set_stage(_Stage.EVICTED)

    async def _download_kv_cache(
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
        ok_status = 200
        return response.status == ok_status

    async def _generate(
        self,
        request: engine_memory.Request,
        body: dict[str, Any],
        faults: fault_injection.Faults,
    ) -> None:
        max_tokens = int(body.get("max_tokens", _DEFAULT_MAX_TOKENS))
        token_interval_s = self.command.seconds_per_token * faults.slow_factor
        writer = event_writer.EventWriter(request, body, max_tokens, faults)
        next_token_at = time.monotonic()
        for token_number in range(1, max_tokens + 1):
            next_token_at += token_interval_s
            await asyncio.sleep(max(0.0, next_token_at - time.monotonic()))
            if faults.stall_at_token == token_number - 1:
                await request.wait_until_left(_Stage.DECODE)
            if request.stage is not _Stage.DECODE:
                return
            await request.add_event(writer.event(token_number))
        await request.set_stage(_Stage.FINISHED)
