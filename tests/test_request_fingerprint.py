"""Fingerprints of requests."""

import dataclasses

import pytest

from cowsliprill.decisions import request_fingerprint

_CONTENT = request_fingerprint.RequestContent(
    customer="umurongo/firm-1",
    method="POST",
    host="desk.example",
    target="/brief/7?page=1",
    body=b"a prompt that nobody else may read",
)


def _of(content, secret="s"):
    return request_fingerprint.Fingerprinter(secret).fingerprint(content)


class TestFingerprint:
    """One request has one fingerprint, at every VM."""

    def test_same_request_has_same_fingerprint_in_each_process(self):
        assert _of(_CONTENT) == _of(dataclasses.replace(_CONTENT))
        assert len(_of(_CONTENT)) == 16

    @pytest.mark.parametrize(
        "change",
        [
            {"customer": "umurongo/firm-2"},
            {"method": "PUT"},
            {"host": "other.example"},
            {"target": "/brief/7"},
            {"body": b""},
            # A byte moves from one part to the next.
            {"host": "desk.exampl", "target": "e/brief/7?page=1"},
        ],
    )
    def test_different_request_has_different_fingerprint(self, change):
        changed = dataclasses.replace(_CONTENT, **change)
        assert _of(changed) != _of(_CONTENT)

    def test_secret_protects_short_bodies_from_guessing(self):
        """Guards against guesses of a body that a reader of logs confirms."""
        assert _of(_CONTENT, "s") != _of(_CONTENT, "t")


def _parts_of(part_ids, secret="s", pool="writers"):
    fingerprinter = request_fingerprint.Fingerprinter(secret)
    return fingerprinter.part_digests(part_ids, pool)


class TestPartDigests:
    """One part of a prompt has one digest, in whichever request it stands."""

    def test_part_has_the_same_digest_beside_others(self):
        assert _parts_of(["a", "b"])[1] == _parts_of(["c", "b"])[1]

    def test_repeated_part_counts_once(self):
        assert _parts_of(["a", "b", "a"]) == _parts_of(["a", "b"])

    def test_part_has_another_digest_at_another_pool(self):
        """Guards against refusing a part where other software survives it."""
        assert _parts_of(["a"]) != _parts_of(["a"], pool="canary")

    def test_secret_protects_parts_from_guessing(self):
        """Guards against guesses of a part that a reader of logs confirms."""
        assert _parts_of(["a"]) != _parts_of(["a"], "t")

    def test_number_of_parts_is_bounded(self):
        """Guards against prompts whose parts fill messages and tables."""
        assert len(_parts_of(map(str, range(1_000)))) == 32
