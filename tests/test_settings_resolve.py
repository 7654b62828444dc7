"""Tests of the settings' tree: checks, inheritance and parts."""

import copy
import hashlib
import json
import pathlib
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies

from cowsliprill.decisions import model
from cowsliprill.settings import errors
from cowsliprill.settings import parts
from cowsliprill.settings import publish
from cowsliprill.settings import resolve
from cowsliprill.settings import tree as tree_lib

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
_FIELDS = ("priority", "timeout_s", "ttft_target_s")
_FIRMS = ("firm-1", "firm-2")


def _both() -> dict[str, Any]:
    return json.loads((_EXAMPLES / "both.json").read_text(encoding="utf-8"))


def _resolve(tree: dict[str, Any]) -> model.Snapshot:
    return resolve.resolve(json.dumps(tree))


def _refusal(tree: dict[str, Any]) -> errors.SettingsError:
    with pytest.raises(errors.SettingsError) as caught:
        _resolve(tree)
    return caught.value


class TestExamples:
    """The settings under `examples/`."""

    @pytest.mark.parametrize(
        ("name", "engines", "plain", "users"),
        [("umurongo", 5, 4, 5), ("zarqa-lane", 9, 4, 1), ("both", 14, 8, 6)],
    )
    def test_sizes(
        self, name: str, engines: int, plain: int, users: int
    ) -> None:
        text = (_EXAMPLES / f"{name}.json").read_text(encoding="utf-8")
        snapshot = resolve.resolve(text)
        kinds = [each.kind for each in snapshot.endpoints_by_id.values()]
        assert kinds.count(model.EndpointKind.PLAIN) == plain
        assert len(kinds) - plain == engines
        assert len(snapshot.customers_by_id) == users
        assert set(snapshot.customers_by_id) == {
            customer.id for customer in snapshot.customers_by_id.values()
        }
        zones = {
            each.availability_zone for each in snapshot.endpoints_by_id.values()
        }
        assert len(zones) == (8 if name == "both" else 4)

    def test_a_key_finds_its_firm(self) -> None:
        snapshot = _resolve(_both())
        digest = hashlib.sha256(b"example-key-firm-2").hexdigest()
        assert snapshot.customers_by_key_hash[digest].id == "umurongo/firm-2"
        assert snapshot.customers_by_key_hash.get("0" * 64) is None
        assert snapshot.customers_by_key_hash.get("no hash at all") is None


def _put(tree: dict[str, Any], path: str, value: Any) -> None:
    *way, last = path.split(".")
    for name in way:
        tree = tree.setdefault(name, {})
    tree[last] = value


class TestRefusals:
    """What is refused, and in which words."""

    @pytest.mark.parametrize(
        ("path", "value", "code", "words"),
        [
            (
                "users.umurongo.services.brief.ttft_targets",
                1,
                "unknown_name",
                "users.umurongo.services.brief: unknown name 'ttft_targets', "
                "did you mean 'ttft_target_s'?",
            ),
            (
                "users.umurongo.services.brief.pool",
                "umurongo-brief",
                "unknown_name",
                "no pool 'umurongo-brief'",
            ),
            (
                "users.umurongo.services.brief.pool",
                "umurongo-desk",
                "settings_invalid",
                "has no decode endpoint",
            ),
            (
                "users.umurongo.services.brief.ttft_target_s",
                -1,
                "settings_invalid",
                "greater than 0",
            ),
            (
                "users.umurongo.services.brief.priority",
                None,
                "settings_invalid",
                "leave it out to inherit it",
            ),
            (
                "users.umurongo.users.firm-2.key_hashes",
                ["example-key-firm-2"],
                "settings_invalid",
                "users.umurongo.users.firm-2.key_hashes.0",
            ),
            (
                "pools.umurongo-desk.endpoints.desk-1.port",
                0,
                "settings_invalid",
                "pools.umurongo-desk.endpoints.desk-1.port",
            ),
            (
                "pools.umurongo-desk.endpoints.desk-1.host",
                "desk.example",
                "settings_invalid",
                "IPv4 or IPv6",
            ),
            (
                "pools.other.endpoints.desk-1",
                {
                    "kind": "plain",
                    "host": "10.0.0.1",
                    "port": 1,
                    "availability_zone": "gasabo",
                    "slots": 1,
                },
                "settings_invalid",
                "stands in pool",
            ),
            (
                "pools.umurongo-briefs.endpoints.new",
                {"kind": "prefill", "host": "10.0.0.1", "port": 1},
                "settings_invalid",
                "'availability_zone' is stated neither here nor by a parent",
            ),
            ("revision", 0, "settings_invalid", "revision"),
            ("revision", "1", "settings_invalid", "revision"),
            ("users.Umurongo", {}, "settings_invalid", "Umurongo"),
        ],
    )
    def test_words(self, path: str, value: Any, code: str, words: str) -> None:
        tree = _both()
        _put(tree, path, value)
        error = _refusal(tree)
        assert error.code == code
        assert words in str(error)

    @pytest.mark.parametrize(
        "text",
        ["", "{", "[]", "7", "[" * 100_000],
    )
    def test_text_that_is_no_tree(self, text: str) -> None:
        with pytest.raises(errors.SettingsError):
            resolve.resolve(text)

    def test_a_name_that_stands_twice(self) -> None:
        """An operator pastes a line and forgets to delete the old one.

        JSON readers keep the last one without a word, so one value would
        stand at the top of the file and another be in force.
        """
        text = json.dumps(_both())
        twice = text.replace('"revision": 1', '"revision": 1, "revision": 2')
        with pytest.raises(errors.SettingsError, match="stands twice"):
            resolve.resolve(twice)

    def test_one_key_at_two_firms(self) -> None:
        """A key is copied to a second, rival firm.

        Whichever was found first would get the other's answers.
        """
        tree = _both()
        firms = tree["users"]["umurongo"]["users"]
        firms["firm-2"]["key_hashes"] += firms["firm-1"]["key_hashes"]
        assert "stands twice" in str(_refusal(tree))


def _naive_service(
    tree: dict[str, Any], nodes: list[dict[str, Any]], name: str
) -> dict[str, Any]:
    fields = dict(tree.get("service_defaults", {}))
    for node in nodes:
        fields.update(node.get("service_defaults", {}))
        fields.update(node.get("services", {}).get(name, {}))
    return fields


def _naive(tree: dict[str, Any]) -> dict[str, dict[str, Any]]:
    """Resolves services by walking the whole tree, as plainly as possible."""
    found = {}
    for top, customer in tree["users"].items():
        for name in customer.get("services", {}):
            found[f"{top}/{name}"] = _naive_service(tree, [customer], name)
        for child, node in customer.get("users", {}).items():
            names = set(node.get("services", {}))
            if node.get("service_defaults"):
                names |= set(customer.get("services", {}))
            for name in names:
                fields = _naive_service(tree, [customer, node], name)
                found[f"{top}/{child}/{name}"] = fields
    return found


_overrides = strategies.dictionaries(
    strategies.sampled_from(_FIELDS), strategies.integers(1, 9), max_size=2
)
_edits = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                "service_defaults",
                "users.umurongo.service_defaults",
                "users.umurongo.services.booking",
                *(f"users.umurongo.users.{x}.service_defaults" for x in _FIRMS),
                *(f"users.umurongo.users.{x}.services.booking" for x in _FIRMS),
            ]
        ),
        _overrides,
    ),
    max_size=6,
)


def _edited(tree: dict[str, Any], path: str, fields: dict) -> dict[str, Any]:
    tree = copy.deepcopy(tree)
    node = tree
    for name in path.split("."):
        node = node.setdefault(name, {})
    node.update(fields)
    tree["revision"] += 1
    return tree


class TestInheritance:
    """The nearest node wins."""

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=60
    )
    @hypothesis.given(_edits)
    def test_like_a_naive_walk(self, edits: list) -> None:
        tree = _both()
        resolver = resolve.Resolver()
        for path, fields in edits:
            tree = _edited(tree, path, fields)
            document = json.dumps(tree)
            snapshot = resolver.resolve_texts(
                tree["revision"], publish.split(document)
            )
            # What was remembered of earlier revisions makes no difference.
            fresh = resolve.resolve(document)
            assert snapshot.services_by_id == fresh.services_by_id
            expected = _naive(tree)
            assert set(expected) == set(snapshot.services_by_id)
            for name, values in expected.items():
                service = snapshot.services_by_id[name]
                for field in _FIELDS:
                    if field in values:
                        assert getattr(service, field) == values[field]

    def test_an_endpoint_inherits_from_its_pool(self) -> None:
        snapshot = _resolve(_both())
        endpoint = snapshot.endpoints_by_id["brief-d1"]
        assert endpoint.checks_fencing
        assert endpoint.target == model.EngineTarget(
            role=model.EndpointKind.DECODE, model="case-brief-13b", version="1"
        )


def _many(count: int) -> dict[str, Any]:
    tree = _both()
    tree["users"]["umurongo"]["users"] = {
        f"firm-{number}": {
            "key_hashes": [hashlib.sha256(f"key-{number}".encode()).hexdigest()]
        }
        for number in range(count)
    }
    return tree


class TestParts:
    """The tree in parts."""

    def test_all_of_many_customers_are_found(self) -> None:
        snapshot = _resolve(_many(1_000))
        assert len(snapshot.customers_by_id) == 1_002
        for number in range(0, 1_000, 37):
            digest = hashlib.sha256(f"key-{number}".encode()).hexdigest()
            customer = snapshot.customers_by_key_hash[digest]
            assert customer.id == f"umurongo/firm-{number}"
            assert snapshot.customers_by_id[customer.id] == customer
        assert "umurongo/firm-1000" not in snapshot.customers_by_id

    def test_a_change_moves_one_part(self) -> None:
        tree = _many(1_000)
        old = publish.publish(json.dumps(tree))
        tree["users"]["umurongo"]["users"]["firm-7"]["share"] = 2
        tree["revision"] = 2
        new = publish.publish(json.dumps(tree), old)
        added = new.texts_by_hash.keys() - old.texts_by_hash.keys()
        added -= {new.head.index}
        assert len(added) == 1
        old_index = json.loads(old.texts_by_hash[old.head.index])
        derived = parts.derive_index(new.head, old.head.index, old_index)
        assert derived == json.loads(new.texts_by_hash[new.head.index])

    def test_a_reader_far_behind_is_not_misled(self) -> None:
        """A reader was cut off for longer than the head's list of changes.

        If it applied the changes it sees to an index they don't belong to, it
        would put a mixture of two revisions in force.
        """
        tree = _both()
        first = last = publish.publish(json.dumps(tree))
        for revision in range(2, 9):
            tree["revision"] = revision
            _put(tree, f"users.umurongo.users.firm-{revision}", {})
            last = publish.publish(json.dumps(tree), last)
        old_index = json.loads(first.texts_by_hash[first.head.index])
        assert (
            parts.derive_index(last.head, first.head.index, old_index) is None
        )

    def test_parts_make_the_document_again(self) -> None:
        tree = _many(100)
        texts = publish.split(json.dumps(tree))
        rest = json.loads(tree_lib.document_of(texts))
        for name in ("revision", "published_by", "published_at"):
            del tree[name]
        assert rest == tree

    def test_content_of_another_hash_is_refused(self) -> None:
        """The platform gives half a value, or a stale replica another's.

        The half could be valid JSON by chance, with users missing.
        """
        text = '{"a": {}}'
        with pytest.raises(errors.SettingsError) as caught:
            parts.verified_text(text[:5].encode(), parts.content_hash(text))
        assert caught.value.code == "part_mismatch"

    def test_a_customer_in_the_wrong_bucket_is_refused(self) -> None:
        """A publisher's tool of another version puts users elsewhere.

        They would be in the settings, but none of their keys would be found.
        """
        texts = publish.split(json.dumps(_many(100)))
        names = sorted(name for name in texts if name.startswith("children/"))
        first, second = names[:2]
        texts[first], texts[second] = texts[second], texts[first]
        with pytest.raises(errors.SettingsError, match="wrong part"):
            resolve.Resolver().resolve_texts(1, texts)

    def test_a_value_above_a_megabyte_is_refused(self) -> None:
        tree = _both()
        tree["users"]["umurongo"]["key_hashes"] = [
            hashlib.sha256(str(number).encode()).hexdigest()
            for number in range(16_000)
        ]
        with pytest.raises(errors.SettingsError) as caught:
            publish.publish(json.dumps(tree))
        assert caught.value.code == "value_too_large"
