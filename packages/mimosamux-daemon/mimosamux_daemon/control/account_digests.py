"""What digests tell of the use by client accounts."""

from mimosamux_wire import AccountUse, FleetDigest

from mimosamux_daemon.serving.fair_shares import FairShares, NewUse

MOST_ACCOUNTS = 8
"""Accounts in a digest: about 140 bytes. One that is left out asked for
less than 8 others, and its use elsewhere is not missed much."""


def write_accounts(shares: FairShares) -> list[AccountUse]:
    """Return the use since the last digest."""
    return [
        AccountUse(
            account=new.key,
            share_percent=round(new.share * 100),
            offered_tokens=int(new.offered),
            admitted_tokens=int(new.admitted),
        )
        for new in shares.take_new(MOST_ACCOUNTS)
    ]


def apply_accounts(shares: FairShares, digest: FleetDigest) -> None:
    """Count the use that a peer tells of."""
    for item in digest.accounts or ():
        shares.note_peer(
            NewUse(
                key=item.account,
                share=max(item.share_percent, 1) / 100,
                offered=float(item.offered_tokens),
                admitted=float(item.admitted_tokens),
            )
        )
