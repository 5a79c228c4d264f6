"""Build the single-file program: a zipapp of pure Python that needs no writable disk."""

import compileall
import pathlib
import py_compile
import shutil
import subprocess
import sys
import zipapp

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_REQUIREMENTS = _ROOT / "requirements.txt"
_PACKAGES = _ROOT / "build" / "packages"
_INSTALLED_REQUIREMENTS = _ROOT / "build" / "packages-of.txt"
_STAGING = _ROOT / "build" / "zipapp"
_TARGET = _ROOT / "dist" / "oleanderdeal"
_REMOVED_PATTERNS = ("*.so", "*.dist-info", "__pycache__", "tests", "bin")


def install_packages() -> None:
    """
    Install the pinned packages from pure-Python wheels, unless the pins are unchanged.

    Extension modules can't be imported from an archive. pip therefore accepts only wheels without
    them, so that a package that offers none fails the build and not the program's first start.
    """
    pinned = _REQUIREMENTS.read_text()
    if _INSTALLED_REQUIREMENTS.exists() and _INSTALLED_REQUIREMENTS.read_text() == pinned:
        return
    shutil.rmtree(_PACKAGES, ignore_errors=True)
    subprocess.run(
        [
            sys.executable,
            "-m",
            "pip",
            "install",
            "--quiet",
            "--target",
            str(_PACKAGES),
            "--requirement",
            str(_REQUIREMENTS),
            "--no-deps",
            "--only-binary=:all:",
            "--platform=any",
            "--implementation=py",
            "--python-version=3.11",
            "--abi=none",
        ],
        check=True,
    )
    _INSTALLED_REQUIREMENTS.write_text(pinned)


def copy_sources() -> None:
    """Copy the workspace's own packages to the staging folder."""
    roots = [*sorted((_ROOT / "libs").iterdir()), _ROOT / "programs" / "oleanderdeal"]
    for root in roots:
        for package in root.iterdir():
            if (package / "__init__.py").exists():
                ignore = shutil.ignore_patterns("__pycache__")
                shutil.copytree(package, _STAGING / package.name, ignore=ignore)


def remove_unused_files() -> None:
    """Remove extension modules, which can't be imported from an archive, metadata and tests."""
    for pattern in _REMOVED_PATTERNS:
        for path in list(_STAGING.rglob(pattern)):
            if path.is_dir():
                shutil.rmtree(path)
            else:
                path.unlink()


def compile_sources() -> None:
    """
    Add each module's byte code; an interpreter of another version uses the sources.

    Byte code can't be written to an archive, so without it every start compiles all modules.
    """
    compileall.compile_dir(
        _STAGING,
        quiet=1,
        legacy=True,
        stripdir=str(_STAGING),
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )


def main() -> None:
    """Build the executable archive dist/oleanderdeal."""
    shutil.rmtree(_STAGING, ignore_errors=True)
    _TARGET.parent.mkdir(exist_ok=True)
    _STAGING.parent.mkdir(exist_ok=True)
    install_packages()
    shutil.copytree(_PACKAGES, _STAGING)
    copy_sources()
    remove_unused_files()
    compile_sources()
    zipapp.create_archive(
        _STAGING, _TARGET, "/usr/bin/env python3", "oleanderdeal.main:main", compressed=True
    )


if __name__ == "__main__":
    main()
