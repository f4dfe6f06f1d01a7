"""The platform's cloud API over HTTP."""

from collections.abc import Collection
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import quote

from mimosamux_daemon.adapters.http_platform import (
    PlatformClient,
    PlatformModel,
    parse_reply,
    refusal,
)
from mimosamux_daemon.domain.names import DataCentreName, VMId
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.vms import VM, Price, ReclaimNotice
from mimosamux_daemon.ports.models.cloud import StartRefused, StartVM


class VMsReply(PlatformModel):
    """The lagging list of VMs."""

    vms: tuple[VM, ...]


class NoticesReply(PlatformModel):
    """Reclaim notices in force."""

    notices: tuple[ReclaimNotice, ...]


class PricesReply(PlatformModel):
    """Prices in force."""

    prices: tuple[Price, ...]


class StartBody(PlatformModel):
    """An order for a VM."""

    order: StartVM


class StartReply(PlatformModel):
    """The VM that was started."""

    vm: VM


class StartRefusedReply(PlatformModel):
    """Why no VM was started."""

    refused: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpCloud:
    """The `Cloud` port over HTTP."""

    client: PlatformClient

    async def list_vms(
        self, data_centres: Collection[DataCentreName] = ()
    ) -> tuple[VM, ...] | Unavailable:
        """Return the live and leaving VMs, as of some seconds ago."""
        params = {'data_centres': ','.join(data_centres)}
        reply = await self.client.send(
            'GET', '/cloud/vms', params=params if data_centres else None
        )
        if isinstance(reply, Unavailable):
            return reply
        parsed = parse_reply(VMsReply, reply)
        return parsed if isinstance(parsed, Unavailable) else parsed.vms

    async def list_notices(self) -> tuple[ReclaimNotice, ...] | Unavailable:
        """Return the reclaim notices in force now."""
        reply = await self.client.send('GET', '/cloud/notices')
        if isinstance(reply, Unavailable):
            return reply
        parsed = parse_reply(NoticesReply, reply)
        return parsed if isinstance(parsed, Unavailable) else parsed.notices

    async def list_prices(self) -> tuple[Price, ...] | Unavailable:
        """Return the prices in force now."""
        reply = await self.client.send('GET', '/cloud/prices')
        if isinstance(reply, Unavailable):
            return reply
        parsed = parse_reply(PricesReply, reply)
        return parsed if isinstance(parsed, Unavailable) else parsed.prices

    async def start_vm(
        self, order: StartVM
    ) -> VM | StartRefused | Unavailable:
        """Start a VM."""
        body = StartBody(order=order).model_dump_json().encode()
        reply = await self.client.send('POST', '/cloud/vms', body=body)
        if isinstance(reply, Unavailable):
            return reply
        if reply.status == HTTPStatus.CONFLICT:
            refused = parse_reply(
                StartRefusedReply, reply, status=HTTPStatus.CONFLICT
            )
            if isinstance(refused, Unavailable):
                return refused
            return StartRefused(reason=refused.refused)
        parsed = parse_reply(StartReply, reply)
        return parsed if isinstance(parsed, Unavailable) else parsed.vm

    async def stop_vm(self, vm: VMId) -> None | Unavailable:
        """Stop a VM; stopping one that is gone is no error."""
        path = f'/cloud/vms/{quote(vm, safe="")}'
        reply = await self.client.send('DELETE', path)
        if isinstance(reply, Unavailable):
            return reply
        if reply.status != HTTPStatus.NO_CONTENT:
            return refusal(reply)
        return None
