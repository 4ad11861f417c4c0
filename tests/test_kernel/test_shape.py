"""Rules of the code's shape that the linter does not check."""

import ast
import importlib
import pathlib
import pkgutil

import greengageshunt

ROOT = pathlib.Path(greengageshunt.__file__).parent


def _trees() -> list[tuple[pathlib.Path, ast.Module]]:
    return [(path, ast.parse(path.read_text())) for path in sorted(ROOT.rglob("*.py"))]


def _is_module(package: str, name: str) -> bool:
    try:
        importlib.import_module(f"{package}.{name}")
    except ModuleNotFoundError:
        return False
    return True


def _is_standard_typing(package: str) -> bool:
    return package in {"typing", "collections.abc"}


def test_modules_are_imported_not_names():
    """Guards against names whose origin a reader cannot see where they are used."""
    found = []
    for path, tree in _trees():
        for node in ast.walk(tree):
            if not isinstance(node, ast.ImportFrom) or node.module == "__future__":
                continue
            if _is_standard_typing(node.module):
                continue
            found += [
                f"{path.name}: from {node.module} import {alias.name}"
                for alias in node.names
                if not _is_module(node.module, alias.name)
            ]
    assert not found


def test_data_classes_are_frozen_and_keyword_only():
    """Guards against data that changes behind a reader's back."""
    found = []
    for path, tree in _trees():
        for node in ast.walk(tree):
            if not isinstance(node, ast.ClassDef):
                continue
            for decorator in node.decorator_list:
                text = ast.unparse(decorator)
                if "dataclass" in text and not {"frozen=True", "kw_only=True"} <= set(
                    part.strip(" ()") for part in text.replace("(", ",").split(",")
                ):
                    found.append(f"{path.name}: {node.name}")
    assert not found


def test_all_modules_import():
    """Guards against modules that only some program would find broken."""
    for module in pkgutil.walk_packages([str(ROOT)], "greengageshunt."):
        importlib.import_module(module.name)
