"""Documents as the operator and the replicas write them."""

from dataclasses import dataclass, field


def _limits() -> dict[str, int]:
    return {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 4194304,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    }


@dataclass(kw_only=True, slots=True)
class SiteDocument:
    """The operator's configuration, changed field by field."""

    version: int = 1
    routes: list[dict[str, object]] = field(default_factory=list)
    services: list[dict[str, object]] = field(default_factory=list)
    tenants: list[dict[str, object]] = field(default_factory=list)
    limits: dict[str, int] = field(default_factory=_limits)

    def add_route(
        self, prefix: str, service: str, kind: str, **fields: object
    ) -> None:
        """Add a route of the host `site.example`."""
        route: dict[str, object] = {
            'name': f'r{len(self.routes)}',
            'host': 'site.example',
            'prefix': prefix,
            'routeKind': kind,
            'timeoutMs': 3000,
            'targetLatencyMs': 500,
            'priority': 0,
            'service': service,
            'maxAttempts': 2,
            'anonymous': False,
        }
        self.routes.append(route | fields)

    def add_service(self, name: str, **fields: object) -> None:
        """Add a plain service, or one of model engines."""
        service: dict[str, object] = {
            'name': name,
            'healthPath': '/healthz',
            'maxConnections': 100,
            'protocol': 'h1',
            'tls': False,
        }
        self.services.append(service | fields)

    def add_tenant(self, name: str, *keys: str, **fields: object) -> None:
        """Add a client account."""
        tenant: dict[str, object] = {'name': name, 'apiKeys': list(keys)}
        self.tenants.append(tenant | fields)

    def render(self) -> dict[str, object]:
        """Return the document as it stands in the store."""
        return {
            'version': self.version,
            'routes': self.routes,
            'services': self.services,
            'limits': self.limits,
            'tenants': self.tenants,
        }


def engine_fields(slots: int = 8) -> dict[str, object]:
    """Return the fields of a service of model engines."""
    return {
        'inferenceEngine': {
            'slots': slots,
            'kvCapacity': 900_000,
            'kvTokenBytes': 35136,
            'linkMbps': 350000.0,
            'migrations': True,
            'backups': True,
            'stride': 5,
            'most': 12,
            'handleTtlS': 5.0,
            'models': [{'name': 'm'}],
        }
    }


def scaling_fields(zones: dict[str, float]) -> dict[str, object]:
    """Return the fields of a service whose endpoints are ordered."""
    return {
        'scaling': {
            'minReplicas': 1,
            'maxReplicas': 4,
            'bootS': 4.0,
            'spotPrice': 0.18,
            'zonePrices': zones,
        }
    }
