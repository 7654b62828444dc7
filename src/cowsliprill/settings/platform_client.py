"""Calls to the platform: values, watches and the VM list."""

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

# A platform slower than this counts as down; peers are asked instead.
_READ_TIMEOUT_S = 4.0
_WATCH_GRACE_S = 2.0
_STATUS_OK = 200
_STATUS_NOTHING_NEW = 204
_STATUS_UNCHANGED = 304
_STATUS_MISSING = 404
_VMS = pydantic.TypeAdapter(list[model.Vm])


class PlatformClient:
    """Reads from the platform within this VM's share of its calls.

    Args:
      client: HTTP client; its longest body bounds what a value may cost us.
      platform_url: URL of the values.
      vm_list_url: URL of the VM list.
      rate_limiter: The share.
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
        self._list: dict[str, model.Vm] = {}
        self._list_tag = ""

    def share_with(self, vm_count: int) -> None:
        """Tells how many VMs share the platform's calls."""
        self._rate_limiter.vm_count = vm_count

    async def part(self, part_hash: str) -> str:
        """Reads a part or an index.

        Args:
          part_hash: Its hash.

        Returns:
          The text, checked against the hash.

        Raises:
          PlatformError: There is no such value or no usable answer.
        """
        body = await self._get(self._value_url(parts.PART_PREFIX + part_hash))
        try:
            return parts.checked_text(body, part_hash)
        except errors.SettingsError as error:
            raise errors.PlatformError(
                str(error), code="value_invalid"
            ) from error

    async def head(self, above: int, wait_s: float) -> parts.Head | None:
        """Reads or watches the head.

        Args:
          above: Revision above which it is wanted; -1 reads what there is.
          wait_s: How long the platform may wait for it, seconds.

        Returns:
          The head, or None if there is none above.

        Raises:
          PlatformError: There was no usable answer.
        """
        url = self._value_url(parts.HEAD_NAME)
        timeout_s = _READ_TIMEOUT_S
        if above >= 0:
            url += f"?above={above}&wait_s={wait_s}"
            timeout_s = wait_s + _WATCH_GRACE_S
        body = await self._get(url, timeout_s)
        if not body:
            return None
        try:
            return parts.read_head(body)
        except errors.SettingsError as error:
            raise errors.PlatformError(
                str(error), code="value_invalid"
            ) from error

    async def vms(self) -> dict[str, model.Vm]:
        """Reads the VM list, or learns that it is as it was.

        Returns:
          The VMs by id.

        Raises:
          PlatformError: There was no usable answer.
        """
        headers = {"If-None-Match": self._list_tag} if self._list_tag else {}
        reply = await self._call(
            self._vm_list_url, _READ_TIMEOUT_S, headers=headers
        )
        if reply.status == _STATUS_UNCHANGED:
            return self._list
        try:
            vms = _VMS.validate_json(self._body(self._vm_list_url, reply))
        except ValueError as error:
            raise errors.PlatformError(
                "the VM list isn't valid", code="value_invalid"
            ) from error
        self._list = {vm.id: vm for vm in vms}
        self._list_tag = reply.headers.get("Etag", "")
        return self._list

    def _value_url(self, name: str) -> str:
        return f"{self._platform_url}/v1/values/{urllib.parse.quote(name)}"

    async def _get(self, url: str, timeout_s: float = _READ_TIMEOUT_S) -> bytes:
        return self._body(url, await self._call(url, timeout_s))

    async def _call(
        self, url: str, timeout_s: float, **options: Any
    ) -> peer_client.Reply:
        wait_s = self._rate_limiter.reserve(clock.now())
        if wait_s:
            await asyncio.sleep(wait_s)
        try:
            return await self._client.call(
                "GET", url, timeout_s=timeout_s, **options
            )
        except peer_client.PeerError as error:
            raise errors.PlatformError(str(error)) from error

    def _body(self, url: str, reply: peer_client.Reply) -> bytes:
        if reply.status == _STATUS_NOTHING_NEW:
            return b""
        if reply.status == _STATUS_MISSING:
            raise errors.PlatformError(
                f"{url}: no such value", code="value_missing"
            )
        if reply.status != _STATUS_OK:
            raise errors.PlatformError(f"{url}: status {reply.status}")
        return reply.body
