"""Progress on standard error, results as text and as JSON under build/."""

import json
import pathlib
import sys
import time

from tools.capacity.fit import describe_fit

RESULTS = pathlib.Path('build/capacity')


class Report:
    """Results of one part of the capacity measurement."""

    def __init__(self, part: str):
        self.part = part
        self.started = time.monotonic()
        self.values: dict[str, object] = {}

    def progress(self, text: str) -> None:
        """Print a progress message with the time since the start of the part."""
        elapsed_s = time.monotonic() - self.started
        print(f'[{self.part} {elapsed_s:5.1f} s] {text}', file=sys.stderr, flush=True)

    def add_points(
        self,
        name: str,
        points: list[tuple[float, float]],
        unit: str,
    ) -> None:
        """Add a quantity measured at several sizes, and print its fit."""
        self.values[name] = {'unit': unit, 'points': points}
        print(f'{self.part}: {describe_fit(name, points, unit)}', flush=True)

    def add_value(self, name: str, value: object, unit: str = '') -> None:
        """Add a single result and print it."""
        self.values[name] = {'unit': unit, 'value': value}
        shown = f'{value:.4g}' if isinstance(value, float) else value
        print(f'{self.part}: {name}: {shown} {unit}'.rstrip(), flush=True)

    def save(self) -> None:
        """Write the results of the part to a JSON file."""
        RESULTS.mkdir(parents=True, exist_ok=True)
        path = RESULTS / f'{self.part}.json'
        path.write_text(json.dumps(self.values, indent=1) + '\n')
