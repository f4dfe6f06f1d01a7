"""Base class of command groups: API clients and output streams."""

from mimosamux_daemon.context import Environment

from mimosamux_cli.addresses import EntryAddresses, parse_seeds
from mimosamux_cli.operators import OperatorClient

ENTRY_VARIABLE = 'MIMOSAMUX_ENTRY'
TOKEN_VARIABLE = 'MIMOSAMUX_TOKEN'  # noqa: S105 - a name, not a token


class CommandGroup:
    """Base class of a command group; its public methods are commands."""

    def __init__(self, *, env: Environment) -> None:
        self._env = env

    def _operator(self, entry: str | None) -> OperatorClient:
        token = self._env.variables.get(TOKEN_VARIABLE, '')
        headers = {'Authorization': f'Bearer {token}'}
        return OperatorClient(
            addresses=self._addresses(entry, headers),
            headers=headers,
            sleep=self._env.sleep,
        )

    def _addresses(
        self, entry: str | None, headers: dict[str, str]
    ) -> EntryAddresses:
        text = entry or self._env.variables.get(ENTRY_VARIABLE)
        return EntryAddresses(seeds=parse_seeds(text), headers=headers)

    def _write(self, text: str) -> None:
        self._env.stdout.write(text)

    def _print_notice(self, text: str) -> None:
        print(f'mimosamux: {text}', file=self._env.stderr)
