"""Limits of what callers may make a process hold, from the size of its VM."""

import os
import resource
from dataclasses import dataclass

from mimosamux_daemon.early_listeners import (
    RECEIVE_BUFFER_BYTES,
    UNSENT_BYTES,
)

KIB = 1024
MIB = 1024 * KIB

DEFAULT_MEMORY_MB = 300.0
"""Memory, in MiB, that is counted on where the settings tell none and the VM
has as much."""
LEAST_BYTES = 16 * MIB
"""Memory for callers however small the VM is; two of the largest bodies."""
BODIES_SHARE = 0.4
"""Share of the memory for callers that their requests get, the rest is for
their connections."""
CONNECTION_BYTES = 16 * KIB + RECEIVE_BUFFER_BYTES + UNSENT_BYTES
"""Memory of a connection: its objects, and what lies in it, not read by this
process or not taken by the caller."""
SMALL_BYTES = 64 * KIB
"""Requests up to this size may use all bytes, larger ones not the reserve; of
answers up to this size nothing is asked while they come."""
SMALL_RESERVE = 0.25
"""Share of the bytes that only small requests may use."""
LEAST_SPARE_DESCRIPTORS = 96
SPARE_DESCRIPTORS_SHARE = 1 / 8
"""Share of the descriptors that is for endpoints, peers, the platform and
files, at least `LEAST_SPARE_DESCRIPTORS`."""
NEWCOMERS_SHARE = 1 / 4
"""Share of these that connections to a listener for peers or tunnels may take
before the other side has proved itself."""
PROOF_S = 1.0
"""Time that it has for that, while others wait to be accepted."""
ACCEPTS_AHEAD = 32
"""Connections that may be accepted before those that yield are closed."""

BODY_TIMEOUT_S = 30.0
"""Longest time from the head of a request to the end of its body, where no
settings tell it."""
YIELDED_RETRY_S = 1.0
"""`Retry-After` of a request that had to yield, in seconds."""
ANSWER_PART_BYTES = 64 * KIB
"""Most bytes of an answer that are sent before its caller has to take some."""
STALL_S = 2.0
"""Time in which a caller has to take a part of its answer, while others have
no room."""
LINGER_S = 1.0
"""Time for a caller to take an answer that ends its connection."""
LINGER_BYTES = 8 * MIB
"""Most bytes of its request that are read and dropped meanwhile."""
MAX_LINGERING = 64
"""Callers that get this time at once."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """What all callers of a process may make it hold together."""

    request_bytes: int
    """Bytes of requests that arrive or are at work."""
    connections: int
    """Most connections, at the memory that each of them takes."""
    descriptors: int
    """Descriptors of connections and of the requests on them."""

    @property
    def large_request_bytes(self) -> int:
        """Part of `request_bytes` that large requests may use."""
        return int(self.request_bytes * (1 - SMALL_RESERVE))


def find_limits(
    *, memory_mb: float, descriptors: int, own_bytes: int
) -> CallerLimits:
    """Return the limits for a VM.

    `memory_mb` is its memory in MiB, 0 if unknown; `descriptors` the most
    that the process may have, and `own_bytes` what it needs without callers.
    """
    memory = int(memory_mb * MIB) or find_default_memory()
    for_callers = max(memory - own_bytes, LEAST_BYTES)
    request_bytes = int(for_callers * BODIES_SHARE)
    spare = find_spare_descriptors(descriptors)
    return CallerLimits(
        request_bytes=request_bytes,
        connections=(for_callers - request_bytes) // CONNECTION_BYTES,
        descriptors=max(descriptors - spare - ACCEPTS_AHEAD, ACCEPTS_AHEAD),
    )


def find_default_memory() -> int:
    """Return the memory, in bytes, to count on where none is told."""
    vm_bytes = os.sysconf('SC_PAGE_SIZE') * os.sysconf('SC_PHYS_PAGES')
    return min(int(DEFAULT_MEMORY_MB * MIB), vm_bytes)


def find_spare_descriptors(descriptors: int) -> int:
    """Return how many of all descriptors are not for callers."""
    share = int(descriptors * SPARE_DESCRIPTORS_SHARE)
    return max(LEAST_SPARE_DESCRIPTORS, share)


def find_newcomer_limit(descriptors: int) -> int:
    """Return how many connections to a listener may have proved nothing."""
    return int(find_spare_descriptors(descriptors) * NEWCOMERS_SHARE)


def find_descriptor_limit(setting: int) -> int:
    """Return how many descriptors the process may have; 0: not set."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return min(setting, soft) if setting else soft
