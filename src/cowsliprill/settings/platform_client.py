"""Client of the platform API: stored values, watches and the VM list."""

import asyncio
import urllib.parse
from typing import Any

import pydantic

from cowsliprill import clock
from cowsliprill import peer_client
from cowsliprill.decisions import model
from cowsliprill.decisions import pacing
from cowsliprill.settings import errors
from cowsliprill.settings import parts

# A platform slower than this counts as down, and peers are queried instead.
_READ_TIMEOUT_S = 4.0
_WATCH_TIMEOUT_MARGIN_S = 2.0
_STATUS_OK = 200
_STATUS_NO_CONTENT = 204
_STATUS_NOT_MODIFIED = 304
_STATUS_NOT_FOUND = 404
_VM_LIST_ADAPTER = pydantic.TypeAdapter(list[model.Vm])


class PlatformClient:
    """Reads from the platform within this VM's share of the call rate.

    Args:
      client: HTTP client; its maximum body size bounds the memory per value.
      platform_url: Base URL of the stored values.
      vm_list_url: URL of the VM list.
      rate_limiter: Rate limiter for this VM's share of the calls.
    """

    def __init__(
        self,
        client: peer_client.PeerClient,
        platform_url: str,
        vm_list_url: str,
        rate_limiter: pacing.CallRateLimiter,
    ) -> None:
        self._client = client
        self._platform_url = platform_url
        self._vm_list_url = vm_list_url
        self._rate_limiter = rate_limiter
        self._vms_by_id: dict[str, model.Vm] = {}
        self._vm_list_etag = ""

    def set_reader_count(self, vm_count: int) -> None:
        """Sets the number of VMs that share the platform's call rate."""
        self._rate_limiter.vm_count = vm_count

    async def part(self, part_hash: str) -> str:
        """Reads a part or an index.

        Args:
          part_hash: Hash of the text.

        Returns:
          The text, verified against the hash.

        Raises:
          PlatformError: The value doesn't exist, the request failed or the
            response is invalid.
        """
        body = await self._get(self._value_url(parts.PART_PREFIX + part_hash))
        try:
            return parts.verified_text(body, part_hash)
        except errors.SettingsError as error:
            raise errors.PlatformError(
                str(error), code="value_invalid"
            ) from error

    async def head(
        self, above_revision: int, wait_s: float
    ) -> parts.Head | None:
        """Reads or watches the head.

        Args:
          above_revision: Watch for a revision above this one; -1 reads the
            current head.
          wait_s: Long-poll timeout of the watch in seconds.

        Returns:
          The head, or None if no such revision appeared in time.

        Raises:
          PlatformError: The request failed or the response is invalid.
        """
        url = self._value_url(parts.HEAD_NAME)
        timeout_s = _READ_TIMEOUT_S
        if above_revision >= 0:
            url += f"?above={above_revision}&wait_s={wait_s}"
            timeout_s = wait_s + _WATCH_TIMEOUT_MARGIN_S
        body = await self._get(url, timeout_s)
        if not body:
            return None
        try:
            return parts.parse_head(body)
        except errors.SettingsError as error:
            raise errors.PlatformError(
                str(error), code="value_invalid"
            ) from error

    async def vms(self) -> dict[str, model.Vm]:
        """Reads the VM list, with a conditional request (ETag).

        Returns:
          The VMs by id.

        Raises:
          PlatformError: The request failed or the response is invalid.
        """
        headers = (
            {"If-None-Match": self._vm_list_etag} if self._vm_list_etag else {}
        )
        reply = await self._call(
            self._vm_list_url, _READ_TIMEOUT_S, headers=headers
        )
        if reply.status == _STATUS_NOT_MODIFIED:
            return self._vms_by_id
        try:
            vms = _VM_LIST_ADAPTER.validate_json(
                self._checked_body(self._vm_list_url, reply)
            )
        except ValueError as error:
            raise errors.PlatformError(
                "invalid VM list", code="value_invalid"
            ) from error
        self._vms_by_id = {vm.id: vm for vm in vms}
        self._vm_list_etag = reply.headers.get("Etag", "")
        return self._vms_by_id

    def _value_url(self, name: str) -> str:
        return f"{self._platform_url}/v1/values/{urllib.parse.quote(name)}"

    async def _get(self, url: str, timeout_s: float = _READ_TIMEOUT_S) -> bytes:
        return self._checked_body(url, await self._call(url, timeout_s))

    async def _call(
        self, url: str, timeout_s: float, **options: Any
    ) -> peer_client.PeerResponse:
        wait_s = self._rate_limiter.reserve(clock.now())
        if wait_s:
            await asyncio.sleep(wait_s)
        try:
            return await self._client.call(
                "GET", url, timeout_s=timeout_s, **options
            )
        except peer_client.PeerError as error:
            raise errors.PlatformError(str(error)) from error

    def _checked_body(self, url: str, reply: peer_client.PeerResponse) -> bytes:
        if reply.status == _STATUS_NO_CONTENT:
            return b""
        if reply.status == _STATUS_NOT_FOUND:
            raise errors.PlatformError(
                f"{url}: value not found", code="value_missing"
            )
        if reply.status != _STATUS_OK:
            raise errors.PlatformError(
                f"{url}: unexpected HTTP status {reply.status}"
            )
        return reply.body
