"""Validation of the configuration document that operators submit."""

import math
import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Any

import pydantic

from mimosamux_daemon.control.configuration_changes import Edit
from mimosamux_daemon.domain.configuration import (
    Configuration,
    ModelSpec,
    ServiceSpec,
)
from mimosamux_daemon.domain.names import (
    AccountId,
    ClassName,
    DataCentreName,
    ModelName,
    ServiceName,
)
from mimosamux_daemon.domain.work import Account, WorkClass
from mimosamux_daemon.errors import InvalidConfiguration
from mimosamux_daemon.validation import first_problem

SHA256_HEX = re.compile('[0-9a-f]{64}')


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class ClassModel(_StrictModel):
    """A class of work, with the targets that operators set for it."""

    first_token_s: float = pydantic.Field(gt=0)
    token_interval_s: float = pydantic.Field(default=0.033, gt=0)
    cost_ceiling_per_hour: float = pydantic.Field(default=math.inf, gt=0)
    deadline_s: float = pydantic.Field(default=600.0, gt=0)
    priority: int = pydantic.Field(default=0, ge=-100, le=100)
    durable: bool = False
    repeatable: bool = True
    cancel_when_gone: bool = False
    retry_share: float = pydantic.Field(default=0.1, ge=0, le=1)
    recompute_weight: float = pydantic.Field(default=1.0, ge=0)

    @pydantic.model_validator(mode='after')
    def _check_times(self) -> 'ClassModel':
        if self.deadline_s <= self.first_token_s:
            raise ValueError('deadline_s has to be above first_token_s')
        return self


class AccountModel(_StrictModel):
    """A client account."""

    key_digests: tuple[str, ...] = pydantic.Field(min_length=1)
    share: float = pydantic.Field(default=1.0, gt=0)
    max_open: int = pydantic.Field(default=1000, gt=0)

    @pydantic.field_validator('key_digests')
    @classmethod
    def _check_digests(cls, digests: tuple[str, ...]) -> tuple[str, ...]:
        for digest in digests:
            if SHA256_HEX.fullmatch(digest) is None:
                raise ValueError('a key is kept as its SHA-256 in hex')
        return digests


class ModelModel(_StrictModel):
    """A language model that endpoints serve."""

    version: str = pydantic.Field(min_length=1)
    machine_classes: tuple[str, ...] = pydantic.Field(
        default=('standard',), min_length=1
    )
    size_bytes: int = pydantic.Field(default=0, ge=0)
    checks_fencing: bool = False


class ServiceModel(_StrictModel):
    """A service without a model."""

    work_class: str


class ConfigurationModel(_StrictModel):
    """The whole configuration document as submitted."""

    classes: dict[str, ClassModel] = pydantic.Field(default_factory=dict)
    accounts: dict[str, AccountModel] = pydantic.Field(default_factory=dict)
    models: dict[str, ModelModel] = pydantic.Field(default_factory=dict)
    services: dict[str, ServiceModel] = pydantic.Field(default_factory=dict)
    data_centres: tuple[str, ...] = ()
    cost_weight: float = pydantic.Field(default=1.0, ge=0)
    recompute_weight: float = pydantic.Field(default=1.0, ge=0)


def parse_configuration(document: object, *, version: int) -> Configuration:
    """Validate a submitted document and return its configuration.

    Raises `InvalidConfiguration` with the path of the invalid field.
    """
    try:
        model = ConfigurationModel.model_validate(document)
    except pydantic.ValidationError as error:
        raise _to_invalid_configuration(error) from error
    _check_references(model)
    return _build_configuration(model, version)


def parse_committed(document: object, *, version: int) -> Configuration:
    """Return the configuration of a committed document.

    Unknown fields are ignored. A newer daemon may have written them, and
    an older daemon must still follow new versions during a rolling
    replacement.
    """
    try:
        model = ConfigurationModel.model_validate(document, extra='ignore')
    except pydantic.ValidationError as error:
        raise _to_invalid_configuration(error) from error
    return _build_configuration(model, version)


def update_configuration(
    previous: Configuration,
    document: Mapping[str, Any],
    edits: Sequence[Edit],
    *,
    version: int,
) -> Configuration:
    """Return the configuration of a committed document incrementally.

    `previous` is the configuration before `edits`. Only edited entries
    are parsed, so that a change costs the same with ten client accounts
    as with ten thousand.
    """
    entries = {edit.path[:2] for edit in edits}
    if previous.version != version - 1 or any(
        len(entry) < 2 or entry[0] not in _SECTIONS for entry in entries
    ):
        return parse_committed(document, version=version)
    sections: dict[str, Any] = {}
    for section, name in entries:
        entries_by_name = sections.setdefault(
            section, dict(getattr(previous, section))
        )
        content = document.get(section) or {}
        if not isinstance(content, dict):
            return parse_committed(document, version=version)
        if name not in content:
            entries_by_name.pop(name, None)
            continue
        entries_by_name[name] = _parse_entry(section, name, content[name])
    return replace(previous, version=version, **sections)


def _parse_entry(section: str, name: str, content: object) -> Any:
    model, build = _SECTIONS[section]
    try:
        parsed = model.model_validate(content, extra='ignore')
    except pydantic.ValidationError as error:
        raise _to_invalid_configuration(
            error, prefix=(section, name)
        ) from error
    return build(name, parsed)


def _to_invalid_configuration(
    error: pydantic.ValidationError, prefix: tuple[str, ...] = ()
) -> InvalidConfiguration:
    problem = first_problem(error, below=prefix)
    return InvalidConfiguration(path=problem.path, problem=problem.message)


def _check_references(model: ConfigurationModel) -> None:
    for name, service in model.services.items():
        if service.work_class not in model.classes:
            raise InvalidConfiguration(
                path=f'services.{name}.work_class',
                problem=f'there is no class {service.work_class!r}',
            )
    owners: dict[str, str] = {}
    for name, account in model.accounts.items():
        for digest in account.key_digests:
            if owners.setdefault(digest, name) != name:
                raise InvalidConfiguration(
                    path=f'accounts.{name}.key_digests',
                    problem=f'{owners[digest]} has the same key',
                )


def _build_configuration(
    model: ConfigurationModel, version: int
) -> Configuration:
    return Configuration(
        version=version,
        classes=_build_section('classes', model.classes),
        accounts=_build_section('accounts', model.accounts),
        models=_build_section('models', model.models),
        services=_build_section('services', model.services),
        data_centres=tuple(
            DataCentreName(name) for name in model.data_centres
        ),
        cost_weight=model.cost_weight,
        recompute_weight=model.recompute_weight,
    )


def _build_section(section: str, models: Mapping[str, Any]) -> dict[Any, Any]:
    _, build = _SECTIONS[section]
    return {name: build(name, model) for name, model in models.items()}


def _build_class(name: str, model: ClassModel) -> WorkClass:
    return WorkClass(name=ClassName(name), **vars(model))


def _build_account(name: str, model: AccountModel) -> Account:
    return Account(id=AccountId(name), **vars(model))


def _build_model(name: str, model: ModelModel) -> ModelSpec:
    return ModelSpec(name=ModelName(name), **vars(model))


def _build_service(name: str, model: ServiceModel) -> ServiceSpec:
    return ServiceSpec(
        name=ServiceName(name), work_class=ClassName(model.work_class)
    )


_SECTIONS: dict[str, tuple[type[_StrictModel], Callable[[str, Any], Any]]] = {
    'classes': (ClassModel, _build_class),
    'accounts': (AccountModel, _build_account),
    'models': (ModelModel, _build_model),
    'services': (ServiceModel, _build_service),
}
