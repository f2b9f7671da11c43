"""Groups of outcomes that the parts of the router treat alike. No state."""

from __future__ import annotations

from .types import Outcome

CONNECTION_FAILURES = (Outcome.CONNECT_FAILED, Outcome.CONNECTION_LOST)
SERVER_FAILURES = (Outcome.SERVER_ERROR, Outcome.MALFORMED_RESPONSE, Outcome.TIMED_OUT, Outcome.UNKNOWN)
REDIRECTS = (Outcome.MOVED, Outcome.ASK_REDIRECT)
RESPONSES = (Outcome.SUCCEEDED, Outcome.CACHE_MISS, Outcome.MALFORMED_RESPONSE)
CONNECTION_ENDING = (  # the attempt's connection ends with it
    *CONNECTION_FAILURES,
    Outcome.MALFORMED_RESPONSE,
    Outcome.TIMED_OUT,
    Outcome.CANCELLED,
)
NO_QUEUE_EVIDENCE = (*RESPONSES, Outcome.CONNECTION_LOST)  # they say nothing of a queue at the server
NO_LOAD_EVIDENCE = (Outcome.CACHE_MISS, Outcome.CANCELLED, *REDIRECTS)  # nor these of the fleet's load
