"""Rules on imports and data classes that the linter does not check."""

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
    """Guards against names that hide the module they come from where they are used."""
    violations = []
    for path, tree in _trees():
        for node in ast.walk(tree):
            if not isinstance(node, ast.ImportFrom) or node.module == "__future__":
                continue
            if _is_standard_typing(node.module):
                continue
            violations += [
                f"{path.name}: from {node.module} import {alias.name}"
                for alias in node.names
                if not _is_module(node.module, alias.name)
            ]
    assert not violations


def test_data_classes_are_frozen_and_keyword_only():
    """Guards against shared data that one holder can change for the others."""
    violations = []
    for path, tree in _trees():
        for node in ast.walk(tree):
            if not isinstance(node, ast.ClassDef):
                continue
            for decorator in node.decorator_list:
                decorator_text = ast.unparse(decorator)
                if "dataclass" in decorator_text and not {"frozen=True", "kw_only=True"} <= set(
                    part.strip(" ()") for part in decorator_text.replace("(", ",").split(",")
                ):
                    violations.append(f"{path.name}: {node.name}")
    assert not violations


def test_all_modules_import():
    """Guards against an import error in a module that few programs load."""
    for module in pkgutil.walk_packages([str(ROOT)], "greengageshunt."):
        importlib.import_module(module.name)
