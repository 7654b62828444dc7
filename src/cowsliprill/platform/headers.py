"""Names of HTTP headers in the platform's protocol."""

from cowsliprill.decisions.overload import priorities

# Client-chosen id, unique per attempt; engines echo it.
ATTEMPT_ID = "Attempt-Id"
# Remaining time in milliseconds until the sender times out.
DEADLINE_MS = "Deadline-Ms"
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_USAGE = "Token-Usage"
# Parts of the prompt in order, as ID:TOKENS entries separated by commas. The
# last one belongs to the request or its session.
PREFIX_HASH = "Prefix-Hash"
# Output length that the client expects, in tokens.
LENGTH_HINT = "Length-Hint"
# Id of the last event received; a stream resumes after it.
LAST_EVENT_ID = "Last-Event-Id"
# Id of the client's attempt that brought the first event of a resumed stream.
RESUMES = "Resumes"
# Engine's signature of its response.
SIGNATURE = "Instance-Signature"
# Id of the engine that a request is addressed to.
EXPECTED_INSTANCE = "Expected-Instance"
# Set on a response when the engine has not executed the request.
NOT_EXECUTED = "Not-Executed"
# Requests a second that an engine takes from all VMs together.
RATE_LIMIT = "Server-Limit"
# Set to 1 in all answers of an engine that is leaving.
LEAVING = "Server-Leaving"
DATE = "Date"
# Phase that an engine runs, prefill or decode.
STAGE = "Stage"
# Address and handle by which a decode engine fetches the KV cache.
KV_SOURCE = "Kv-Source"
# Priority from 0 (the most urgent) to 9.
PRIORITY = "Request-Priority"
RETRY_AFTER = "Retry-After"
# Id of the customer that the client's API key belongs to.
CUSTOMER = "Tenant"
AUTHORIZATION = "Authorization"
CONTENT_ENCODING = "Content-Encoding"

STAGE_PREFILL = "prefill"

# Largest value of the header `Request-Priority`, the least urgent.
LEAST_URGENT = 9

# Set only by the router and removed from callers' requests. A client that sends
# them could use another client's KV cache, or hold engine memory without a
# request.
ROUTER_ONLY_HEADERS = frozenset(
    {
        "stage",
        "kv-hold",
        "kv-source",
        "kv-backup",
        "kv-fetch",
        "pin-ms",
        "expected-instance",
        "deadline-ms",
        "request-priority",
        "tenant",
    }
)


def priority_value(priority: int) -> str:
    """Returns the value of the header `Request-Priority`.

    Args:
      priority: Combined priority of a request; higher is more urgent.
    """
    return str(min(priorities.urgency(priority), LEAST_URGENT))
