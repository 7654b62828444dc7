"""Names of headers on the platform's wire."""

# Chosen by the client, one for each of its attempts; engines echo it.
ATTEMPT = "Attempt-Id"
# Milliseconds that the sender will still wait.
DEADLINE = "Deadline-Ms"
# Tokens of the prompt, comma, most tokens of the answer.
TOKENS = "Token-Usage"
# The client's guess of the answer's length, in tokens.
LENGTH_HINT = "Length-Hint"
# Event after which a stream goes on.
LAST_EVENT = "Last-Event-Id"
# The engine's signature under its answer.
SIGNATURE = "Instance-Signature"
# Id of the engine that a request is meant for.
EXPECTED_ENGINE = "Expected-Instance"
# Present on answers of engines that have not run the request.
NOT_RUN = "Not-Executed"
# Which half of the work an engine shall do.
STAGE = "Stage"
# Where a decode engine fetches the KV cache.
KV_SOURCE = "Kv-Source"
# From 0, the most urgent, to 9.
PRIORITY = "Request-Priority"
RETRY_AFTER = "Retry-After"
# The customer that the system has found by the client's API key.
CUSTOMER = "Tenant"
AUTHORIZATION = "Authorization"
CONTENT_ENCODING = "Content-Encoding"

STAGE_PREFILL = "prefill"

# Set by this system alone. A client that sends them could use another's KV
# cache, or hold engine memory without a request.
OURS = frozenset(
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
