"""Prometheus metrics of one daemon."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from mimosamux_daemon.callers import CallerAccount, show_holdings

FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.4, 3.0, 6.0, 15.0, 60.0)


class Metrics:
    """All metrics of a daemon; callers pass label values with each sample."""

    def __init__(self) -> None:
        self._registry = Registry()
        self.requests_ended = self._counter(
            'mimosamux_requests_ended_total',
            'Requests by work_class and outcome.',
        )
        self.requests_refused = self._counter(
            'mimosamux_requests_refused_total',
            'Refusals by work_class and reason.',
        )
        self.requests_cut = self._counter(
            'mimosamux_requests_cut_total',
            'Requests cut at the end of a stop, by work_class and reason.',
        )
        self.attempts_broken = self._counter(
            'mimosamux_attempts_broken_total',
            'Attempts that gave no whole answer, by reason.',
        )
        self.frames_dropped = self._counter(
            'mimosamux_frames_dropped_total',
            'Engine frames that were dropped, by fault.',
        )
        self.tokens_recomputed = self._counter(
            'mimosamux_tokens_recomputed_total',
            'Tokens that were computed again, by cause.',
        )
        self.table_rows = self._counter(
            'mimosamux_table_rows_total',
            'Rows read and written in the table, by mechanism and kind.',
        )
        self.peer_bytes = self._counter(
            'mimosamux_peer_bytes_total',
            'Bytes sent to other daemons, by message.',
        )
        self.configuration_version = self._gauge(
            'mimosamux_configuration_version',
            'Version of the configuration in force.',
        )
        self.choices = self._counter(
            'mimosamux_choices_total',
            'Chosen endpoints, by near (yes or no) and cached (yes or no).',
        )
        self.endpoints = self._gauge(
            'mimosamux_endpoints',
            'Known endpoints, by state (serving, suspected or leaving).',
        )
        self.digests = self._counter(
            'mimosamux_digests_total', 'Digests received, by outcome.'
        )
        self.open_requests = self._gauge(
            'mimosamux_open_requests', 'Accepted requests not yet ended.'
        )
        self.caller_losses = self._counter(
            'mimosamux_caller_losses_total',
            'Requests and connections of callers that were given up at a '
            'limit, by cause.',
        )
        self.caller_holdings = self._gauge(
            'mimosamux_caller_holdings',
            'What callers hold, by kind (request_bytes: of requests and '
            'answers, answer_bytes, connections, descriptors).',
        )
        self.caller_limits = self._gauge(
            'mimosamux_caller_limits',
            'The most that callers may hold, by kind.',
        )
        self._account: CallerAccount | None = None
        self.first_token_s = Histogram(
            'mimosamux_first_token_seconds',
            'Time to the first token, by work_class.',
            buckets=list(FIRST_TOKEN_BUCKETS_S),
            registry=self._registry,
        )

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics as an HTTP body and its headers.

        `accept` holds the values of the `Accept` header.
        """
        if self._account is not None:
            show_holdings(self._account, self)
        content, headers = render(self._registry, accept)
        return content, dict(headers)

    def watch_callers(self, account: CallerAccount) -> None:
        """Show from now on what callers hold."""
        self._account = account

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self._registry)
