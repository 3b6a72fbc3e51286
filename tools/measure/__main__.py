"""
Measures the decision code in virtual time and prints tables.

    python -m tools.measure                     all experiments
    python -m tools.measure crest --seeds 5     one or more experiments
"""

import argparse
import json
import sys

from tools.measure.runs import (
    EXPERIMENTS,
    PARALLEL,
    Case,
    list_cases,
    report,
    run_case,
    run_cases,
    write_plots,
)


def make_parser() -> argparse.ArgumentParser:
    """Return the command line parser."""
    parser = argparse.ArgumentParser(prog='python -m tools.measure')
    parser.add_argument('experiments', nargs='*', help=', '.join(EXPERIMENTS))
    parser.add_argument('--seeds', type=int, default=5, help='number of seeds')
    parser.add_argument('--parallel', type=int, default=PARALLEL)
    parser.add_argument('--only', help='run this variant only', default='')
    parser.add_argument('--no-plots', action='store_true')
    parser.add_argument(
        '--case', help='run one case, given as JSON, and print its metrics'
    )
    return parser


def main() -> int:
    """Run experiments and return the exit status."""
    args = make_parser().parse_args()
    if args.case:
        print(json.dumps(run_case(Case(*json.loads(args.case)))))
        return 0
    unknown = sorted(set(args.experiments) - set(EXPERIMENTS))
    if unknown:
        print(f'unknown experiments: {", ".join(unknown)}', file=sys.stderr)
        return 2
    for name in args.experiments or EXPERIMENTS:
        experiment = EXPERIMENTS[name]
        cases = list_cases(experiment, range(1, args.seeds + 1))
        if args.only:
            cases = [case for case in cases if case.variant == args.only]
        # Concurrent processes would distort measured times.
        results = run_cases(cases, 1 if experiment.is_timed else args.parallel)
        print(f'\n## {name}\n\n{experiment.question} Seeds 1 to {args.seeds}.\n')
        print(report(experiment, results), flush=True)
        if not args.no_plots:
            write_plots(experiment, results)
    return 0


if __name__ == '__main__':
    sys.exit(main())
