"""Lint check: `from` imports must import modules, not their members."""

import ast
import importlib.util
import pathlib
import sys

# Exempt from the rule in the Google Python Style Guide.
_EXEMPT = frozenset({"typing", "collections.abc", "__future__"})


def _is_module(name: str) -> bool:
    try:
        return importlib.util.find_spec(name) is not None
    except (ImportError, ValueError):
        return False


def _violations(path: pathlib.Path) -> list[str]:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    violations = []
    for node in ast.walk(tree):
        if not isinstance(node, ast.ImportFrom) or node.module in _EXEMPT:
            continue
        if node.level:
            violations.append(f"{path}:{node.lineno}: relative import")
            continue
        for alias in node.names:
            name = f"{node.module}.{alias.name}"
            if not _is_module(name):
                violations.append(
                    f"{path}:{node.lineno}: {name} is not a module"
                )
    return violations


def main(folders: list[str]) -> int:
    """Checks every Python file under the folders and prints violations.

    Args:
      folders: Paths of the folders, searched recursively.

    Returns:
      The exit code: 0 if no import violates the rule, else 1.
    """
    violations = []
    for folder in folders:
        for path in sorted(pathlib.Path(folder).rglob("*.py")):
            violations.extend(_violations(path))
    print("\n".join(violations), end="\n" if violations else "")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
