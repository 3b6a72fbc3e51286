"""
Copies the program and its libraries into a directory from which shiv builds.

The libraries come from the environment that `make install` created, so a build
needs no network. A library with another version than the pinned one stops the
build.

    python tools/stage.py build/site
"""

import importlib.metadata
import pathlib
import re
import shutil
import sys
import tomllib

ROOT = pathlib.Path(__file__).parent.parent
REQUIREMENT_NAME = re.compile(r'[A-Za-z0-9._-]+')


def normalise(name: str) -> str:
    """Return a distribution's name in the normalised form of package indexes."""
    return re.sub(r'[-_.]+', '-', name).lower()


def read_pins() -> dict[str, str]:
    """Return the pinned version of each distribution in requirements.txt."""
    lines = (ROOT / 'requirements.txt').read_text().split()
    pairs = (line.split('==') for line in lines)
    return {normalise(name): version for name, version in pairs}


def read_dependencies() -> list[str]:
    """Return the project's own requirements."""
    project = tomllib.loads((ROOT / 'pyproject.toml').read_text())
    return project['project']['dependencies']


def list_names(requirements: list[str], pins: dict[str, str]) -> list[str]:
    """
    Return the names of the requirements that are pinned.

    Requirements of extras and of other platforms are not pinned, because the
    environment does not have them.
    """
    without_extras = (item for item in requirements if 'extra ==' not in item)
    names = (normalise(REQUIREMENT_NAME.match(item)[0]) for item in without_extras)
    return [name for name in names if name in pins]


def find_closure(pins: dict[str, str]) -> list[importlib.metadata.Distribution]:
    """Return the direct and indirect dependencies of the program."""
    found: dict[str, importlib.metadata.Distribution] = {}
    names = list_names(read_dependencies(), pins)
    while names:
        name = names.pop()
        if name in found:
            continue
        distribution = importlib.metadata.distribution(name)
        if distribution.version != pins[name]:
            raise SystemExit(
                f'{name}: installed {distribution.version}, but pinned {pins[name]}'
            )
        found[name] = distribution
        names += list_names(distribution.requires or [], pins)
    return [found[name] for name in sorted(found)]


def copy_distribution(
    distribution: importlib.metadata.Distribution,
    target: pathlib.Path,
) -> None:
    """Copy a distribution's files, without scripts and compiled files."""
    for path in distribution.files or ():
        if '..' in path.parts or '__pycache__' in path.parts:
            continue
        copy = target / path
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(distribution.locate_file(path), copy)


def main() -> None:
    """Replace the directory named on the command line with the staged files."""
    target = pathlib.Path(sys.argv[1])
    shutil.rmtree(target, ignore_errors=True)
    closure = find_closure(read_pins())
    for distribution in closure:
        copy_distribution(distribution, target)
    shutil.copytree(
        ROOT / 'yuccarelay',
        target / 'yuccarelay',
        ignore=shutil.ignore_patterns('__pycache__'),
    )
    print(f'staged yuccarelay and {len(closure)} libraries in {target}')


if __name__ == '__main__':
    main()
