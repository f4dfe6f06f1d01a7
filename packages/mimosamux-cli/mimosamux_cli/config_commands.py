"""The commands of `mimosamux config`, one method each."""

from typing import Any

from mimosamux_cli.documents import (
    as_yaml,
    diff_documents,
    parse_value,
    read_document,
)
from mimosamux_cli.groups import CommandGroup
from mimosamux_cli.output import write_json, write_table

DEFAULT_WAIT_S = 30.0


class ConfigCommands(CommandGroup):
    """Show and change the configuration in force."""

    def get(self, *, entry: str | None = None, json: bool = False) -> None:
        """Show the configuration in force and its version.

        Example: mimosamux config get --entry 127.0.0.1:8080
        """
        answer = self._operator(entry).get('configuration')
        if json:
            write_json(answer, self._env.stdout)
            return
        self._write(f'# version {answer["version"]}\n')
        self._write(as_yaml(answer['document']))

    def set(
        self,
        path: str,
        value: Any,
        *,
        why: str = '',
        entry: str | None = None,
        json: bool = False,
    ) -> None:
        """Change one field and leave the rest as it is.

        Example: mimosamux config set classes.draft.first_token_s 4.0
        """
        body = {'path': path, 'value': parse_value(value), 'why': why}
        answer = self._operator(entry).change('configuration/set', body)
        self._show_accepted(answer, json)

    def apply(
        self,
        file: str,
        *,
        expected_version: int | None = None,
        why: str = '',
        entry: str | None = None,
        json: bool = False,
    ) -> None:
        """Put a whole document in force, if nobody changed it meanwhile.

        Without --expected-version the version in force now is expected.

        Example: mimosamux config apply site.yaml --why 'new class'
        """
        document = read_document(file)
        client = self._operator(entry)
        if expected_version is None:
            expected_version = client.get('configuration')['version']
        body = {
            'document': document,
            'expected_version': expected_version,
            'why': why,
        }
        answer = client.change('configuration/apply', body)
        self._show_accepted(answer, json)

    def diff(self, file: str, *, entry: str | None = None) -> None:
        """Show what applying a file would change.

        Example: mimosamux config diff site.yaml
        """
        document = read_document(file)
        in_force = self._operator(entry).get('configuration')['document']
        self._write(diff_documents(in_force, document, file))

    def history(
        self,
        *,
        limit: int = 20,
        entry: str | None = None,
        json: bool = False,
    ) -> None:
        """Show the latest accepted changes: who, what and why.

        Example: mimosamux config history --limit 5
        """
        answer = self._operator(entry).get(
            'configuration/history', limit=limit
        )
        if json:
            write_json(answer, self._env.stdout)
            return
        columns = ('who', 'what', 'why')
        rows = [
            [version['version'], *(change.get(name) for name in columns)]
            for version in answer['versions']
            for change in version['changes']
        ]
        write_table(('version', *columns), rows, self._env.stdout)

    def wait(
        self,
        version: int,
        *,
        timeout_s: float = DEFAULT_WAIT_S,
        entry: str | None = None,
        json: bool = False,
    ) -> None:
        """Return once every reachable daemon has this version in force.

        Example: mimosamux config wait 12
        """
        answer = self._operator(entry).get(
            'configuration/wait', version=version, timeout_s=timeout_s
        )
        if json:
            write_json(answer, self._env.stdout)
            return
        self._write(f'version {version} is in force everywhere\n')

    def _show_accepted(self, answer: Any, json: bool) -> None:
        if json:
            write_json(answer, self._env.stdout)
            return
        self._write(f'accepted as version {answer["version"]}\n')
