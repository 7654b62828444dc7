"""Tests of what engines tell about streams that nobody has recorded."""

from cowsliprill.decisions import stream_evidence
from cowsliprill.decisions import stream_origins

_PART = stream_origins.PromptPart(id="c", tokens=100)


def _contents(
    version: str, attempts: tuple[str, ...] = (), **tokens_by_part: int
) -> stream_evidence.EngineContents:
    return stream_evidence.EngineContents(
        version=version,
        attempts=frozenset(attempts),
        tokens_by_part=tokens_by_part,
    )


def _version(
    evidence: stream_evidence.StreamEvidence,
    attempt: str = "a1",
    part: stream_origins.PromptPart = _PART,
    *,
    customer: str = "",
    all_asked: bool = True,
) -> str | None:
    key = stream_origins.key_of("", attempt)
    return evidence.version_of(customer, key, part, all_asked=all_asked)


def _evidence(
    old: stream_evidence.EngineContents,
    new: stream_evidence.EngineContents | None,
) -> stream_evidence.StreamEvidence:
    evidence = stream_evidence.StreamEvidence()
    evidence.add("old", old)
    if new is not None:
        evidence.add("new", new)
    return evidence


class TestRunningAttempts:
    """Engines that still run a stream tell its version."""

    def test_one_engine_runs_it(self) -> None:
        old = _contents("v1", ("a1",))
        assert _version(_evidence(old, None)) == "v1"

    def test_running_attempt_counts_more_than_a_kept_prompt(self) -> None:
        evidence = _evidence(_contents("v1", c=100), _contents("v2", ("a1",)))
        assert _version(evidence) == "v2"

    # Guards against joined streams where an attempt went on at another engine.
    def test_engines_of_two_versions_run_it(self) -> None:
        evidence = _evidence(
            _contents("v1", ("a1",)), _contents("v2", ("a1",), c=100)
        )
        assert _version(evidence) is None

    def test_key_of_another_customer(self) -> None:
        evidence = _evidence(_contents("v1", ("a1",)), _contents("v2"))
        assert _version(evidence) == "v1"
        assert _version(evidence, customer="x") is None

    def test_unnamed_attempt(self) -> None:
        evidence = _evidence(_contents("v1", ("a1",)), _contents("v2"))
        assert _version(evidence, attempt="") is None


class TestKeptPrompts:
    """Engines that keep a whole prompt tell the version of its stream."""

    def test_one_version_keeps_it(self) -> None:
        evidence = _evidence(_contents("v1", c=100), _contents("v2", b=100))
        assert _version(evidence) == "v1"

    # Guards against joined streams whose prompt two versions have processed.
    def test_two_versions_keep_it(self) -> None:
        evidence = _evidence(_contents("v1", c=100), _contents("v2", c=116))
        assert _version(evidence) is None

    # Guards against the turn before of a session, which was shorter.
    def test_a_part_of_it_is_kept(self) -> None:
        evidence = _evidence(_contents("v1", c=99), _contents("v2"))
        assert _version(evidence) is None

    # Guards against a guess while engines that may keep it weren't asked.
    def test_an_engine_was_not_asked(self) -> None:
        evidence = _evidence(_contents("v1", c=100), None)
        assert _version(evidence, all_asked=False) is None
        assert _version(evidence) == "v1"

    def test_unknown_part(self) -> None:
        evidence = _evidence(_contents("v1", c=100), _contents("v2"))
        nothing = stream_origins.PromptPart()
        assert _version(evidence, part=nothing) is None

    # Guards against prompts that streams left elsewhere as they went on.
    def test_first_contents_stay(self) -> None:
        evidence = _evidence(_contents("v1", c=100), _contents("v2"))
        evidence.add("new", _contents("v2", c=100))
        assert _version(evidence) == "v1"
