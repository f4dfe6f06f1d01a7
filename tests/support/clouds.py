"""A cloud whose lists a test sets."""

from typing import Any

import anyio
from mimosamux_daemon.domain.names import DataCentreName, VMId
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.vms import (
    VM,
    Market,
    ReclaimNotice,
    VMRole,
    VMState,
)

from tests.support.fleets import MODEL


def make_vm(name: str, **fields: Any) -> VM:
    values: dict[str, Any] = {
        'data_centre': DataCentreName('riga-1'),
        'machine_class': 'standard',
        'market': Market.RECLAIMABLE,
        'role': VMRole.ENDPOINT,
        'state': VMState.LIVE,
        'address': f'{name}:1',
        'model': MODEL,
    }
    return VM(id=VMId(name), **{**values, **fields})


class FakeCloud:
    """The part of the `Cloud` port that lists things."""

    def __init__(self, *vms: VM) -> None:
        self.vms = list(vms)
        self.notices: list[ReclaimNotice] = []
        self.is_down = False
        self.list_delay_s = 0.0
        self.lists = 0
        self.notice_polls = 0

    def give_notice(self, name: str, seconds_left: float = 30.0) -> None:
        notice = ReclaimNotice(vm=VMId(name), seconds_left=seconds_left)
        self.notices.append(notice)

    async def list_vms(self, data_centres: Any = ()) -> Any:
        self.lists += 1
        await anyio.sleep(self.list_delay_s)
        return self._answer(self.vms)

    async def list_notices(self) -> Any:
        self.notice_polls += 1
        return self._answer(self.notices)

    async def list_prices(self) -> Any:
        return self._answer([])

    def _answer(self, items: list[Any]) -> Any:
        if self.is_down:
            return Unavailable(reason='outage', may_have_taken_effect=False)
        return tuple(items)
