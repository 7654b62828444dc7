"""Tests of `tools.own_site`, which derives site files from a base site."""

import pathlib
import tomllib

import pytest
import tomli_w
from tools import own_site

_BASE = {
    "name": "theirs",
    "wire": "wire.json",
    "services": [
        {
            "name": "writers",
            "slots": 12,
            "servers": [{"zone": "a", "count": 1}, {"zone": "b", "count": 1}],
            "llm": {"batch": 12, "stride": 8, "first_ms": 1.0},
        },
        {"name": "desk", "slots": 6, "servers": [{"zone": "a", "count": 4}]},
    ],
    "classes": [
        {
            "name": "brief",
            "stream": {
                "prompt_tokens": {"mean": 3_000.0, "spread": 0.5},
                "pieces": {"mean": 70.0},
            },
        },
        {"name": "booking", "kind": "unsafe"},
    ],
}


class TestOwnSite:
    """A derived site differs from its base only where its file says so."""

    @pytest.mark.parametrize(
        "path", sorted(pathlib.Path("deploy/sites").glob("*.toml")), ids=str
    )
    def test_each_derived_site(self, tmp_path, path):
        base = tmp_path / "theirs.toml"
        base.write_text(tomli_w.dumps(_BASE))
        (tmp_path / "wire.json").write_text("{}")
        folder = tmp_path / "ours"
        assert own_site.main([str(base), str(path), str(folder)]) == 0
        own = tomllib.loads((folder / path.name).read_text())
        changes = tomllib.loads(path.read_text())
        writers, desk = own["services"]
        assert own["name"] == changes["name"]
        assert writers["slots"] == changes["engine"]["slots"]
        assert writers["llm"]["first_ms"] == 1.0
        assert writers["llm"]["stride"] == changes["engine"]["llm"]["stride"]
        assert desk == _BASE["services"][1]
        prompt = own["classes"][0]["stream"]["prompt_tokens"]
        assert prompt["spread"] == 0.5
        assert prompt["mean"] == changes["streams"]["prompt_tokens"]["mean"]
        assert own["classes"][1] == _BASE["classes"][1]
        assert (folder / "wire.json").exists()

    def test_wrong_arguments(self, capsys):
        assert own_site.main(["one"]) == 2
        assert "usage" in capsys.readouterr().err
