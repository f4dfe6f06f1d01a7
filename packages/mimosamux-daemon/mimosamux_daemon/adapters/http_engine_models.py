"""Validated models of what model engines send over HTTP."""

import pydantic

from mimosamux_daemon.domain.engine import (
    CacheEvent,
    EngineReport,
    KvExport,
    KvImported,
    LoadReport,
    StreamEnd,
    TokenFrame,
)
from mimosamux_daemon.domain.names import EndpointId, RequestId
from mimosamux_daemon.domain.vms import Endpoint


class FrameModel(pydantic.BaseModel):
    """One event of an answer: tokens, or the end marker with a total."""

    request: str
    attempt: int
    offset: int = pydantic.Field(default=0, ge=0)
    tokens: tuple[str, ...] = ()
    total: int | None = None
    finish_reason: str = 'stop'
    cached_tokens: int = 0
    computed_tokens: int = 0

    def as_event(self) -> TokenFrame | StreamEnd:
        """Return the event as the daemon works on it."""
        request = RequestId(self.request)
        if self.total is None:
            return TokenFrame(
                request=request,
                attempt=self.attempt,
                offset=self.offset,
                tokens=self.tokens,
            )
        return StreamEnd(
            request=request,
            attempt=self.attempt,
            total=self.total,
            finish_reason=self.finish_reason,
            cached_tokens=self.cached_tokens,
            computed_tokens=self.computed_tokens,
        )


class LoadModel(pydantic.BaseModel):
    """Load of an engine."""

    sequence: int
    age_s: float = pydantic.Field(ge=0)
    queued_prefill_tokens: int = pydantic.Field(ge=0)
    running: int = pydantic.Field(ge=0)
    waiting: int = pydantic.Field(ge=0)
    slots: int = pydantic.Field(ge=1)
    prefill_tokens_per_s: float = pydantic.Field(gt=0)
    decode_interval_s: float = pydantic.Field(ge=0)
    cache_blocks: int = 0
    cache_capacity_blocks: int = 0


class CacheModel(pydantic.BaseModel):
    """Blocks stored and evicted."""

    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    snapshot: bool = False


class ReportModel(pydantic.BaseModel):
    """One event of the reports: load or cache."""

    load: LoadModel | None = None
    cache: CacheModel | None = None

    def as_report(self, endpoint: EndpointId) -> EngineReport | None:
        """Return the report, None for a kind that is not known."""
        if self.load is not None:
            return LoadReport(endpoint=endpoint, **self.load.model_dump())
        if self.cache is not None:
            return CacheEvent(endpoint=endpoint, **self.cache.model_dump())
        return None


class RefusalModel(pydantic.BaseModel):
    """Body of an answer that is an error."""

    reason: str = 'refused'
    retry_after_s: float | None = pydantic.Field(default=None, ge=0)


class ExportModel(pydantic.BaseModel):
    """Exported KV cache."""

    handle: str
    tokens: int = pydantic.Field(ge=0)
    size_bytes: int = pydantic.Field(ge=0)

    def as_export(self, source: Endpoint) -> KvExport:
        """Return the export as the daemon works on it."""
        return KvExport(
            handle=self.handle,
            source=source.id,
            tokens=self.tokens,
            size_bytes=self.size_bytes,
        )


class ImportModel(pydantic.BaseModel):
    """Imported KV cache."""

    handle: str
    tokens: int = pydantic.Field(ge=0)

    def as_imported(self) -> KvImported:
        """Return the import as the daemon works on it."""
        return KvImported(handle=self.handle, tokens=self.tokens)
