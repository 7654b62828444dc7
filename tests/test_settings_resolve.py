"""Tests of the settings tree: validation, inheritance and parts."""

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
_CHILD_CUSTOMERS = ("firm-1", "firm-2")


def _both() -> dict[str, Any]:
    """Returns the example settings `both.json`."""
    return json.loads((_EXAMPLES / "both.json").read_text(encoding="utf-8"))


def _resolve(tree: dict[str, Any]) -> model.Snapshot:
    return resolve.resolve(json.dumps(tree))


def _rejection(tree: dict[str, Any]) -> errors.SettingsError:
    with pytest.raises(errors.SettingsError) as caught:
        _resolve(tree)
    return caught.value


class TestExamples:
    """Tests that the settings in `examples/` are valid."""

    @pytest.mark.parametrize(
        ("name", "engines", "plain", "users"),
        [("umurongo", 5, 4, 5), ("zarqa-lane", 9, 4, 1), ("both", 14, 8, 6)],
    )
    def test_example_has_expected_numbers_of_endpoints_and_customers(
        self, name: str, engines: int, plain: int, users: int
    ) -> None:
        text = (_EXAMPLES / f"{name}.json").read_text(encoding="utf-8")
        snapshot = resolve.resolve(text)
        kinds = [
            endpoint.kind for endpoint in snapshot.endpoints_by_id.values()
        ]
        assert kinds.count(model.EndpointKind.PLAIN) == plain
        assert len(kinds) - plain == engines
        assert len(snapshot.customers_by_id) == users
        assert set(snapshot.customers_by_id) == {
            customer.id for customer in snapshot.customers_by_id.values()
        }
        zones = {
            endpoint.availability_zone
            for endpoint in snapshot.endpoints_by_id.values()
        }
        assert len(zones) == (8 if name == "both" else 4)

    def test_customer_is_found_by_api_key(self) -> None:
        snapshot = _resolve(_both())
        digest = hashlib.sha256(b"example-key-firm-2").hexdigest()
        assert snapshot.customers_by_key_hash[digest].id == "umurongo/firm-2"
        assert snapshot.customers_by_key_hash.get("0" * 64) is None
        assert snapshot.customers_by_key_hash.get("no hash at all") is None


def _set_value(tree: dict[str, Any], path: str, value: Any) -> None:
    *parents, field = path.split(".")
    for name in parents:
        tree = tree.setdefault(name, {})
    tree[field] = value


class TestRejections:
    """Tests of rejected settings and their error messages."""

    @pytest.mark.parametrize(
        ("path", "value", "code", "message"),
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
    def test_invalid_value_is_rejected_with_path_and_reason(
        self, path: str, value: Any, code: str, message: str
    ) -> None:
        tree = _both()
        _set_value(tree, path, value)
        error = _rejection(tree)
        assert error.code == code
        assert message in str(error)

    @pytest.mark.parametrize(
        "text",
        ["", "{", "[]", "7", "[" * 100_000],
    )
    def test_invalid_document_is_rejected(self, text: str) -> None:
        with pytest.raises(errors.SettingsError):
            resolve.resolve(text)

    def test_duplicate_name_in_an_object_is_rejected(self) -> None:
        """Guards against two values for one name in a settings document.

        JSON parsers silently keep the last value. An operator who pastes a line
        without deleting the old one would see one value at the top of the file
        while another is active.
        """
        text = json.dumps(_both())
        duplicated = text.replace(
            '"revision": 1', '"revision": 1, "revision": 2'
        )
        with pytest.raises(errors.SettingsError, match="stands twice"):
            resolve.resolve(duplicated)

    def test_duplicate_api_key_is_rejected(self) -> None:
        """Guards against responses that reach the wrong customer.

        An operator copies an API key to a second, rival customer. Whichever
        customer is found first would get the other's responses.
        """
        tree = _both()
        child_customers = tree["users"]["umurongo"]["users"]
        child_customers["firm-2"]["key_hashes"] += child_customers["firm-1"][
            "key_hashes"
        ]
        assert "stands twice" in str(_rejection(tree))


def _naive_service(
    tree: dict[str, Any], nodes: list[dict[str, Any]], name: str
) -> dict[str, Any]:
    fields = dict(tree.get("service_defaults", {}))
    for node in nodes:
        fields.update(node.get("service_defaults", {}))
        fields.update(node.get("services", {}).get(name, {}))
    return fields


def _naive(tree: dict[str, Any]) -> dict[str, dict[str, Any]]:
    """Resolves all services without caching, as a reference implementation."""
    services_by_id = {}
    for top, customer in tree["users"].items():
        for name in customer.get("services", {}):
            services_by_id[f"{top}/{name}"] = _naive_service(
                tree, [customer], name
            )
        for child, node in customer.get("users", {}).items():
            names = set(node.get("services", {}))
            if node.get("service_defaults"):
                names |= set(customer.get("services", {}))
            for name in names:
                fields = _naive_service(tree, [customer, node], name)
                services_by_id[f"{top}/{child}/{name}"] = fields
    return services_by_id


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
                *(
                    f"users.umurongo.users.{x}.service_defaults"
                    for x in _CHILD_CUSTOMERS
                ),
                *(
                    f"users.umurongo.users.{x}.services.booking"
                    for x in _CHILD_CUSTOMERS
                ),
            ]
        ),
        _overrides,
    ),
    max_size=6,
)


def _edited(tree: dict[str, Any], path: str, fields: dict) -> dict[str, Any]:
    """Returns the next revision, with fields set at a node."""
    tree = copy.deepcopy(tree)
    node = tree
    for name in path.split("."):
        node = node.setdefault(name, {})
    node.update(fields)
    tree["revision"] += 1
    return tree


class TestInheritance:
    """Tests that the value set closest to a node takes precedence."""

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
            # Results cached from earlier revisions don't change the snapshot.
            fresh = resolve.resolve(document)
            assert snapshot.services_by_id == fresh.services_by_id
            expected = _naive(tree)
            assert set(expected) == set(snapshot.services_by_id)
            for name, values in expected.items():
                service = snapshot.services_by_id[name]
                for field in _FIELDS:
                    if field in values:
                        assert getattr(service, field) == values[field]

    def test_endpoint_inherits_from_its_pool(self) -> None:
        snapshot = _resolve(_both())
        endpoint = snapshot.endpoints_by_id["brief-d1"]
        assert endpoint.checks_fencing
        assert endpoint.target == model.EngineTarget(
            role=model.EndpointKind.DECODE, model="case-brief-13b", version="1"
        )


def _settings_with_children(count: int) -> dict[str, Any]:
    tree = _both()
    tree["users"]["umurongo"]["users"] = {
        f"firm-{number}": {
            "key_hashes": [hashlib.sha256(f"key-{number}".encode()).hexdigest()]
        }
        for number in range(count)
    }
    return tree


class TestParts:
    """Tests of a settings tree that is split into parts."""

    def test_all_child_customers_are_found(self) -> None:
        snapshot = _resolve(_settings_with_children(1_000))
        assert len(snapshot.customers_by_id) == 1_002
        for number in range(0, 1_000, 37):
            digest = hashlib.sha256(f"key-{number}".encode()).hexdigest()
            customer = snapshot.customers_by_key_hash[digest]
            assert customer.id == f"umurongo/firm-{number}"
            assert snapshot.customers_by_id[customer.id] == customer
        assert "umurongo/firm-1000" not in snapshot.customers_by_id

    def test_change_of_one_customer_adds_one_part(self) -> None:
        tree = _settings_with_children(1_000)
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

    def test_no_index_is_derived_from_an_index_older_than_the_changes(
        self,
    ) -> None:
        """Guards against activating a mixture of two revisions.

        A reader was disconnected for longer than the list of changes in the
        head reaches back. Applying these changes to an older index would mix
        two revisions.
        """
        tree = _both()
        first = latest = publish.publish(json.dumps(tree))
        for revision in range(2, 9):
            tree["revision"] = revision
            _set_value(tree, f"users.umurongo.users.firm-{revision}", {})
            latest = publish.publish(json.dumps(tree), latest)
        old_index = json.loads(first.texts_by_hash[first.head.index])
        assert (
            parts.derive_index(latest.head, first.head.index, old_index) is None
        )

    def test_document_is_reassembled_from_its_parts(self) -> None:
        tree = _settings_with_children(100)
        texts = publish.split(json.dumps(tree))
        document = json.loads(tree_lib.assemble_document(texts))
        for name in ("revision", "published_by", "published_at"):
            del tree[name]
        assert document == tree

    def test_part_with_a_wrong_hash_is_rejected(self) -> None:
        """Guards against truncated values and values of stale replicas.

        The platform returns half a value, or a stale replica returns another
        one. Half a value could happen to be valid JSON with customers missing.
        """
        text = '{"a": {}}'
        with pytest.raises(errors.SettingsError) as caught:
            parts.verified_text(text[:5].encode(), parts.content_hash(text))
        assert caught.value.code == "part_mismatch"

    def test_customer_in_a_wrong_bucket_is_rejected(self) -> None:
        """Guards against customers whose API keys can't be found.

        A publishing tool of another version assigns customers to other buckets.
        They would be in the settings, but lookups of their keys would fail.
        """
        texts = publish.split(json.dumps(_settings_with_children(100)))
        names = sorted(name for name in texts if name.startswith("children/"))
        first, second = names[:2]
        texts[first], texts[second] = texts[second], texts[first]
        with pytest.raises(errors.SettingsError, match="wrong part"):
            resolve.Resolver().resolve_texts(1, texts)

    def test_value_above_one_megabyte_is_rejected(self) -> None:
        tree = _both()
        tree["users"]["umurongo"]["key_hashes"] = [
            hashlib.sha256(str(number).encode()).hexdigest()
            for number in range(16_000)
        ]
        with pytest.raises(errors.SettingsError) as caught:
            publish.publish(json.dumps(tree))
        assert caught.value.code == "value_too_large"
