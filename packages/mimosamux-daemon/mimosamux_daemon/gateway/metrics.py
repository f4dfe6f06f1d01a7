"""Metrics of a gateway daemon, rendered for Prometheus.

Label values come from the configuration and from closed lists. Routes beyond
the first `MAX_ROUTE_LABELS` share one label value, which limits the number of
time series under a large configuration.
"""

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from mimosamux_daemon.domain.routes import Route

BUCKETS_S = [0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0]
"""Upper bounds of the buckets of the histograms."""
MAX_ROUTE_LABELS = 64
OTHER_ROUTES_LABEL = 'other'
"""Label value of all further routes."""


class GatewayMetrics:
    """All metrics of a daemon; callers pass the labels with each update."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._labelled_routes: set[str] = set()
        self.collectors: list[Callable[[], None]] = []
        """Called before each rendering, to set the gauges."""
        self.requests = self._counter(
            'mimosamux_gateway_requests_total',
            'Requests that ended, by route, outcome and reason.',
        )
        self.sends = self._counter(
            'mimosamux_gateway_sends_total',
            'Sends to endpoints, by service and result.',
        )
        self.moves = self._counter(
            'mimosamux_gateway_moves_total',
            'Streams moved to another endpoint, by result.',
        )
        self.resumptions = self._counter(
            'mimosamux_gateway_stream_resumptions_total',
            'Streams that callers resumed, by service and result (bound, '
            'one_version, version_before, unknown, no_endpoint).',
        )
        self.software_versions = self._gauge(
            'mimosamux_gateway_software_versions',
            'Software versions of endpoints that serve or served until '
            'recently, by service.',
        )
        self.unproven_ends = self._counter(
            'mimosamux_gateway_unproven_ends_total',
            'Answers without a length whose end is not known to be that of '
            'the answer, by service and cause (stopped, process).',
        )
        self.answer_ends = self._counter(
            'mimosamux_gateway_answer_ends_total',
            'Answers that came to an end, by service, framing (length, '
            'chunks, connection, no_body) and what their end was known by.',
        )
        self.end_wait_s = self._histogram(
            'mimosamux_gateway_end_wait_seconds',
            'Time for which callers waited until the end of an answer '
            'without a length was known to be its end, by service.',
        )
        self.endpoint_crashes = self._counter(
            'mimosamux_gateway_endpoint_crashes_total',
            'Endpoints that ended unannounced under requests, by service.',
        )
        self.caller_losses = self._counter(
            'mimosamux_gateway_caller_losses_total',
            'Requests and connections of callers that were given up at a '
            'limit, by cause.',
        )
        self.caller_holdings = self._gauge(
            'mimosamux_gateway_caller_holdings',
            'What callers hold, by kind (request_bytes: of requests and '
            'answers, answer_bytes, connections, descriptors).',
        )
        self.caller_limits = self._gauge(
            'mimosamux_gateway_caller_limits',
            'The most that callers may hold, by kind.',
        )
        self.suspects = self._gauge(
            'mimosamux_gateway_suspects',
            'Contents and prompt parts under which endpoints crashed, by '
            'state (suspected, held, explained: by a content).',
        )
        self.most_crashes = self._gauge(
            'mimosamux_gateway_suspect_crashes',
            'Most endpoints that crashed under one suspect, by kind (content, '
            'part).',
        )
        self.rollout_steps = self._counter(
            'mimosamux_gateway_rollout_steps_total',
            'Steps of roll-outs that this daemon wrote down, by stage.',
        )
        self.rollout_share = self._gauge(
            'mimosamux_gateway_rollout_share',
            'Share of requests that a version under trial gets from this '
            'daemon, by service and version.',
        )
        self.store_era = self._gauge(
            'mimosamux_gateway_store_era',
            "Era of the platform's store; rises with each restore.",
        )
        self.duty_calls = self._counter(
            'mimosamux_gateway_duty_calls_total',
            'Calls of the duties, by duty and outcome.',
        )
        self.request_s = self._histogram(
            'mimosamux_gateway_request_seconds',
            'Time from a request to its end, by route.',
        )
        self.first_event_s = self._histogram(
            'mimosamux_gateway_first_event_seconds',
            'Time from a send to its first event, by service.',
        )
        self.waiting = self._gauge(
            'mimosamux_gateway_waiting_requests',
            'Requests that wait for a model engine, by service.',
        )
        self.waits = self._counter(
            'mimosamux_gateway_waits_total',
            'Ended waits for a model engine, by service and result (sent, '
            'sent_late, endpoint_found, refused, unplaced, cancelled).',
        )
        self.wait_s = self._histogram(
            'mimosamux_gateway_wait_seconds',
            'Time for which a request waited for a model engine, by service.',
        )
        self.engine_factor = self._gauge(
            'mimosamux_gateway_engine_factor',
            'Time that the engines of a service take, relative to their mean, '
            'by service and bound (fastest, slowest).',
        )
        self.open_requests = self._gauge(
            'mimosamux_gateway_open_requests', 'Requests under way.'
        )
        self.stopping = self._gauge(
            'mimosamux_gateway_stopping',
            'Whether this daemon has got a stop signal, 0 or 1.',
        )
        self.endpoints = self._gauge(
            'mimosamux_gateway_endpoints',
            'Known endpoints, by service and state (serving, avoided, '
            'leaving).',
        )
        self.configuration_version = self._gauge(
            'mimosamux_gateway_configuration_version',
            'Version of the configuration in force.',
        )
        self.configuration_age_s = self._gauge(
            'mimosamux_gateway_configuration_age_seconds',
            'Time since no newer version was known to exist.',
        )
        self.peers = self._gauge(
            'mimosamux_gateway_peers',
            'Other daemons, by state (fresh, silent).',
        )
        self.peer_bytes = self._counter(
            'mimosamux_gateway_peer_bytes_total',
            'Bytes sent to other daemons, by message.',
        )
        self.relayed_daemons = self._gauge(
            'mimosamux_gateway_relayed_daemons',
            'Daemons that use this one as their relay.',
        )
        self.unreached = self._gauge(
            'mimosamux_gateway_service_unreached',
            'Whether this daemon reaches no endpoint of a service itself, 0 '
            'or 1, by service.',
        )
        self.brittle = self._gauge(
            'mimosamux_gateway_service_brittle',
            'Requests that a brittle endpoint can reject in a second, 0: any '
            'number, by service.',
        )
        self.tunnels = self._counter(
            'mimosamux_gateway_tunnels_total',
            'Tunnels to endpoints, by side (asked, served) and result.',
        )
        self.forecast_sends = self._counter(
            'mimosamux_gateway_forecast_sends_total',
            'Sends to endpoints chosen by a forecast of their load, by '
            'service.',
        )
        self.residence_s = self._gauge(
            'mimosamux_gateway_residence_seconds',
            'Learned time for which work stays at an endpoint, by service '
            'and work (request, prefill).',
        )
        self.holds_lease = self._gauge(
            'mimosamux_gateway_holds_lease',
            'Whether this daemon does the duties, 0 or 1.',
        )

    def note_wait(self, service: str, result: str, waited_s: float) -> None:
        """Count the end of a wait for a model engine, and its length."""
        self.waits.inc({'service': service, 'result': result})
        self.wait_s.observe({'service': service}, waited_s)

    def route_label(self, route: Route) -> str:
        """Return the value of the label `route`.

        Routes get their own value in the order of their first use.
        """
        if route.name in self._labelled_routes:
            return route.name
        if len(self._labelled_routes) >= MAX_ROUTE_LABELS:
            return OTHER_ROUTES_LABEL
        self._labelled_routes.add(route.name)
        return route.name

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics as text, and the HTTP headers for them."""
        for collect in self.collectors:
            collect()
        content, headers = render(self._registry, ['text/plain'])
        return content, dict(headers)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self._registry)

    def _histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(name, doc, buckets=BUCKETS_S, registry=self._registry)
