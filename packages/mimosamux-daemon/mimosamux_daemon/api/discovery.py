"""Route that tells callers which daemon addresses to use."""

from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from mimosamux_daemon.api.accounts import find_account
from mimosamux_daemon.api.errors import outcome_response
from mimosamux_daemon.control.configuration import ConfigurationInForce
from mimosamux_daemon.control.discovery import Discovery
from mimosamux_daemon.domain.outcomes import Refused


@dataclass(frozen=True, kw_only=True, slots=True)
class DiscoveryRoutes:
    """Handler of `GET /v1/entry-addresses`."""

    in_force: ConfigurationInForce
    discovery: Discovery

    def routes(self) -> list[Route]:
        """Return the routes for the application."""
        return [Route('/v1/entry-addresses', self.entry_addresses)]

    async def entry_addresses(self, request: Request) -> Response:
        """Answer with daemon addresses in the account's preferred order."""
        account = find_account(request, self.in_force.current)
        if isinstance(account, Refused):
            return outcome_response(account)
        caller = request.client.host if request.client else ''
        answer = self.discovery.addresses_for(account.id, caller)
        return JSONResponse(
            {
                'addresses': [
                    {
                        'address': item.address,
                        'data_centre': item.data_centre,
                    }
                    for item in answer.addresses
                ],
                'ttl_s': answer.ttl_s,
            },
            headers={'Cache-Control': f'max-age={int(answer.ttl_s)}'},
        )
