"""The commands of `mimosamux`, one method each.

The help pages (`--help`) show the docstrings of the class and its methods.
"""

from typing import Any

from mimosamux_daemon.context import Environment
from mimosamux_daemon.control.configuration_models import parse_configuration
from mimosamux_daemon.core import load_program, read_fields

from mimosamux_cli.caller import Caller
from mimosamux_cli.config_commands import ConfigCommands
from mimosamux_cli.documents import read_document
from mimosamux_cli.errors import NotFoundError, UsageError
from mimosamux_cli.groups import CommandGroup
from mimosamux_cli.output import as_time, write_json, write_table
from mimosamux_cli.service_caller import ServiceCaller
from mimosamux_cli.stories import read_log, select_request_lines

KEY_VARIABLE = 'MIMOSAMUX_KEY'
DEFAULT_AUDIT_PERIOD_S = 86_400.0


class Commands(CommandGroup):
    """Operate mimosamux, and try requests.

    Daemons are named by --entry HOST:PORT[,HOST:PORT] or by the variable
    MIMOSAMUX_ENTRY. Operators set MIMOSAMUX_TOKEN, callers MIMOSAMUX_KEY.

    Exit status: 0 success, 1 error, 2 wrong usage, 3 invalid input,
    4 conflict, 5 nothing reachable, 6 refused (not run), 7 unknown
    outcome, 130 interrupted.
    """

    def __init__(self, *, env: Environment) -> None:
        super().__init__(env=env)
        self.config = ConfigCommands(env=env)

    def status(self, *, entry: str | None = None, json: bool = False) -> None:
        """Show daemons, endpoints, classes against targets, and cost.

        Example: mimosamux status --json
        """
        answer = self._operator(entry).get('status')
        if json:
            write_json(answer, self._env.stdout)
            return
        daemon, version = answer.pop('daemon'), answer.pop('version')
        self._write(f'version {version}, as {daemon} sees it\n')
        for name, rows in answer.items():
            self._write_section(name, rows)

    def drain(self, daemon: str, *, entry: str | None = None) -> None:
        """Have a daemon hand its work over and stop.

        Example: mimosamux drain entry-2
        """
        self._operator(entry).drain(daemon)
        self._write(f'{daemon} is draining\n')

    def release(self, content: str, *, entry: str | None = None) -> None:
        """Let a request run again that was held for crashing endpoints.

        CONTENT is its key, as status, explain and the logs show it.

        Example: mimosamux release 3f0c6d1e9a7b4c52d8e1f0a9b7c6d5e4
        """
        self._operator(entry).release(content)
        self._write(f'{content} may run again\n')

    def audit(
        self,
        *,
        kind: str | None = None,
        who: str | None = None,
        since: float | None = None,
        limit: int = 50,
        entry: str | None = None,
        json: bool = False,
    ) -> None:
        """Show the last changes of the audit trail, newest last.

        --since takes seconds since 1970; without it, the last day.

        Example: mimosamux audit --kind vm --limit 10
        """
        if since is None:
            since = self._env.wall_clock() - DEFAULT_AUDIT_PERIOD_S
        entries = self._operator(entry).read_audit(
            kind=kind, who=who, since=since
        )[-limit:]
        if json:
            write_json({'entries': entries}, self._env.stdout)
            return
        columns = ('kind', 'who', 'what', 'why', 'version')
        rows = [
            [as_time(entry['at']), *(entry.get(name) for name in columns)]
            for entry in entries
        ]
        write_table(('at', *columns), rows, self._env.stdout)

    def addresses(
        self, *, entry: str | None = None, json: bool = False
    ) -> None:
        """Show the addresses that a caller should use now, best first.

        Example: mimosamux addresses --entry 127.0.0.1:8080
        """
        urls = list(self._addresses(entry, self._key_headers()).current())
        if json:
            write_json({'addresses': urls}, self._env.stdout)
            return
        write_table(('address',), [[url] for url in urls], self._env.stdout)

    def request(
        self,
        prompt: str,
        *,
        model: str = 'demo',
        work_class: str | None = None,
        max_tokens: int = 256,
        stream: bool = False,
        key: str = '',
        entry: str | None = None,
        json: bool = False,
    ) -> None:
        """Send a prompt, follow it wherever it goes, print the answer.

        The answer is printed once it is whole; with --stream as it comes.

        Example: mimosamux request 'plan a trip' --model demo --stream
        """
        headers = self._key_headers()
        if work_class is not None:
            headers['X-Mimosamux-Class'] = work_class
        caller = Caller(
            addresses=self._addresses(entry, headers),
            headers=headers,
            sleep=self._env.sleep,
            on_notice=self._print_notice,
        )
        if stream:
            caller.on_text = self._write
        answer = caller.complete(
            {
                'model': model,
                'stream': True,
                'max_tokens': max_tokens,
                'messages': [{'role': 'user', 'content': str(prompt)}],
            },
            key=str(key),
        )
        if json:
            body = {'request': answer.request, 'text': answer.text}
            write_json(body, self._env.stdout)
            return
        self._write('\n' if stream else f'{answer.text}\n')

    def call(
        self,
        service: str,
        path: str = '',
        *,
        data: str = '',
        key: str = '',
        work_class: str | None = None,
        entry: str | None = None,
    ) -> None:
        """Call a plain service under one key until the call is settled.

        With --key an earlier call is looked up, or sent if there was none.

        Example: mimosamux call echo slips --data 'consent slip'
        """
        headers = self._key_headers()
        if work_class is not None:
            headers['X-Mimosamux-Class'] = work_class
        caller = ServiceCaller(
            addresses=self._addresses(entry, headers),
            headers=headers,
            sleep=self._env.sleep,
        )
        text = caller.call(service, path, str(data), key=str(key))
        self._write(f'{text}\n')

    def check(self, file: str, *, kind: str = 'settings') -> None:
        """Check a settings or configuration file without any daemon.

        Example: mimosamux check site.yaml --kind configuration
        """
        if kind == 'settings':
            load_program(read_fields(file)).check(file)
        elif kind == 'configuration':
            parse_configuration(read_document(file), version=1)
        else:
            raise UsageError(f'--kind {kind}: use settings or configuration')
        self._write(f'{file}: valid\n')

    def explain(self, request: str, *files: str) -> None:
        """Tell the story of a request from the logs of daemons, in order.

        Each line is led by the file that it comes from. Lines about its
        endpoints, and about what its daemons lost meanwhile, are told too.

        Example: mimosamux explain 4f1c edge-1.log edge-2.log
        """
        if not files:
            raise UsageError('explain: name the log files to read')
        lines = [line for file in files for line in read_log(str(file))]
        selected = select_request_lines(str(request), lines)
        if not selected:
            raise NotFoundError(
                f'no line about request {request} in {len(lines)} events of '
                f'{", ".join(map(str, files))}; a daemon under load leaves '
                'lines out, see left_out= and lines_lost= there'
            )
        for line in selected:
            self._write(f'{line.source}: {line.text}\n')

    def _key_headers(self) -> dict[str, str]:
        key = self._env.variables.get(KEY_VARIABLE, '')
        return {'Authorization': f'Bearer {key}'}

    def _write_section(self, name: str, rows: list[dict[str, Any]]) -> None:
        self._write(f'\n{name}\n')
        columns = list(dict.fromkeys(key for row in rows for key in row))
        cells = [[row.get(column) for column in columns] for row in rows]
        write_table(columns, cells, self._env.stdout)
