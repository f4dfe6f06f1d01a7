"""Usage by client accounts in the digests that daemons exchange."""

from mimosamux_wire import AccountUse, FleetDigest

from mimosamux_daemon.serving.fair_shares import FairShares, UsageDelta

MAX_ACCOUNTS = 8
"""Maximum accounts in a digest, about 140 bytes. An account that is left
out asked for less than 8 others, so peers lose little without its usage."""


def write_accounts(shares: FairShares) -> list[AccountUse]:
    """Return the usage since the last digest."""
    return [
        AccountUse(
            account=delta.key,
            share_percent=round(delta.share * 100),
            offered_tokens=int(delta.offered),
            admitted_tokens=int(delta.admitted),
        )
        for delta in shares.take_deltas(MAX_ACCOUNTS)
    ]


def apply_accounts(shares: FairShares, digest: FleetDigest) -> None:
    """Add the usage that a peer reports in a digest."""
    for item in digest.accounts or ():
        shares.add_peer_delta(
            UsageDelta(
                key=item.account,
                share=max(item.share_percent, 1) / 100,
                offered=float(item.offered_tokens),
                admitted=float(item.admitted_tokens),
            )
        )
