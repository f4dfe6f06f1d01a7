"""Stand-in of the platform's API for duties."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import orjson
from mimosamux_daemon.adapters.http1_exchange import IncomingRequest, Reply
from mimosamux_daemon.domain.http_messages import find_value

JSON = ((b'Content-Type', b'application/json'),)


@dataclass(frozen=True, kw_only=True, slots=True)
class DutyCall:
    """A call as it was carried out or refused."""

    at: float
    path: str
    holder: str
    fencing: int
    body: dict[str, object]
    is_taken: bool


@dataclass(kw_only=True, slots=True)
class StandInCloud:
    """Takes usage reports and orders, and keeps to fencing numbers."""

    on_order: Callable[[str, str, bool, int], None] = lambda *_: None
    """Called with service, zone, whether reclaimable, and count."""
    dry_zones: set[str] = field(default_factory=set)
    is_silent: bool = False
    calls: list[DutyCall] = field(default_factory=list)
    _fencing_by_subject: dict[tuple[object, ...], int] = field(
        default_factory=dict
    )

    async def handle(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Answer one call."""
        if self.is_silent:
            await anyio.sleep_forever()
        path = incoming.head.target.decode()
        headers = incoming.head.headers
        holder = (find_value(headers, b'x-duty-holder') or b'').decode()
        fencing = int(find_value(headers, b'x-fencing-token') or b'0')
        body = orjson.loads(incoming.body)
        problem = self._find_problem(path, fencing, body)
        self.calls.append(
            DutyCall(
                at=anyio.current_time(),
                path=path,
                holder=holder,
                fencing=fencing,
                body=body,
                is_taken=problem is None,
            )
        )
        if problem is not None:
            await reply.answer(409, JSON, orjson.dumps({'error': problem}))
            return
        if path == '/scaling':
            self.on_order(
                body['service'],
                body['zone'],
                bool(body.get('spotInstances')),
                body['desiredCount'],
            )
        await reply.answer(200, JSON, b'{}')

    def _find_problem(
        self, path: str, fencing: int, body: dict[str, object]
    ) -> str | None:
        subject = (path, body.get('service'), body.get('zone'))
        if fencing < self._fencing_by_subject.get(subject, 0):
            return 'a higher fence was seen'
        self._fencing_by_subject[subject] = fencing
        is_reclaimable = path == '/scaling' and body.get('spotInstances')
        if is_reclaimable and body['zone'] in self.dry_zones:
            return 'none of that kind is to be had'
        return None
