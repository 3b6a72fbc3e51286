"""The command that checks the operators' configuration of the platform."""

import json as json_module
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

from cyclopts import Parameter
from result import Err, Ok, Result

from yuccarelay.commands import Env, report
from yuccarelay.exit_status import ExitStatus

if TYPE_CHECKING:
    from yuccarelay.platform.configuration_paths import ReadConfiguration

Against = Annotated[
    Path | None,
    Parameter(help='The version in force; what differs from it is printed.'),
]
Accelerators = Annotated[
    int | None,
    Parameter(help='Accelerators of the fleet, to check guarantees against.'),
]
JsonOutput = Annotated[bool, Parameter(negative='', help='Print the result as JSON.')]


def read_file(path: Path) -> 'Result[ReadConfiguration, str]':
    """Read and decode a configuration file."""
    from yuccarelay.platform.configuration_paths import read_configuration

    try:
        data = path.read_bytes()
    except OSError as error:
        return Err(error.strerror or type(error).__name__)
    return read_configuration(data)


def check_configuration_file(
    file: Path,
    /,
    *,
    against: Against = None,
    accelerators: Accelerators = None,
    json: JsonOutput = False,
    env: Env,
) -> ExitStatus:
    """
    Check a configuration file of the platform and list every error.

    Exit status 0: no rule is broken; 3: a rule is broken, or a file cannot be read.
    Differences from another version do not change the status.
    """
    from yuccarelay.core.batch.configuration_check import (
        check_configuration,
        compare_configurations,
    )
    from yuccarelay.platform.configuration_paths import name_field, name_path

    read = {}
    for path in filter(None, (file, against)):
        match read_file(path):
            case Err(reason):
                report(env, f'{path}: {reason}')
                return ExitStatus.INVALID
            case Ok(found):
                read[path] = found
    configuration, services = read[file]
    faults = [
        (name_path(fault.place), fault.rule)
        for fault in check_configuration(configuration, services, accelerators)
    ]
    differences = []
    if against is not None:
        differences = [
            difference._replace(field=name_field(difference.field))
            for difference in compare_configurations(read[against][0], configuration)
        ]
    if json:
        document = {
            'errors': [{'path': path, 'rule': rule} for path, rule in faults],
            'differences': [difference._asdict() for difference in differences],
        }
        print(json_module.dumps(document, indent=2), file=env.stdout)
    else:
        for path, rule in faults:
            report(env, f'{file}: {path}: {rule}')
        for subject, field, change, effect in differences:
            what = f'{subject}: {field} {change}' if field else f'{subject} {change}'
            print(f'{what}; effect on accepted work: {effect}', file=env.stdout)
        if not faults:
            print(f'{file}: valid configuration', file=env.stdout)
    return ExitStatus.INVALID if faults else ExitStatus.OK
