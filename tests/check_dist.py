"""
Checks that the built file runs, starts no process and writes only to SHIV_ROOT.

The file is run by the given Python under an audit hook that refuses to start a
process or to write outside of a new SHIV_ROOT, which is on a memory file system if
there is one. The printed times are those of each whole run.

    python tests/check_dist.py dist/yuccarelay [PYTHON]
"""

import os
import pathlib
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).parent.parent
MEMORY_FILE_SYSTEM = '/dev/shm'
RUN_LIMIT_S = 60

DRIVER = """
import os, runpy, sys
import _posixsubprocess

STARTS = {'os.fork', 'os.forkpty', 'os.exec', 'os.posix_spawn', 'os.spawn',
          'os.system', 'subprocess.Popen'}
WRITES = {'os.mkdir', 'os.rename', 'os.remove', 'os.symlink', 'os.link',
          'os.rmdir', 'os.truncate'}
ROOT = os.environ['SHIV_ROOT']

def refuse(*args):
    raise SystemExit('REFUSED: a process was started')

def check(event, args):
    if event in STARTS:
        raise SystemExit('REFUSED: ' + event)
    path = None
    if event in WRITES:
        path = args[0]
    elif event == 'open':
        flags = args[2] or 0
        if flags & (os.O_WRONLY | os.O_RDWR | os.O_CREAT):
            path = args[0]
    if isinstance(path, (str, bytes, os.PathLike)):
        if not os.path.abspath(os.fsdecode(path)).startswith(ROOT):
            raise SystemExit(f'REFUSED: {event} {path}')

_posixsubprocess.fork_exec = refuse
sys.argv = sys.argv[1:]
sys.addaudithook(check)
runpy.run_path(sys.argv[0], run_name='__main__')
"""


def run_file(file: str, python: str, root: str, *args: str):
    """Run the file under the audit hook; return the result and the duration in s."""
    environment = {'PATH': os.defpath, 'SHIV_ROOT': root, 'HOME': '/nonexistent'}
    start = time.monotonic()
    done = subprocess.run(
        [python, '-c', DRIVER, file, *args],
        env=environment,
        cwd='/',
        capture_output=True,
        text=True,
        timeout=RUN_LIMIT_S,
    )
    return done, time.monotonic() - start


def list_cases() -> list[tuple[int, tuple[str, ...]]]:
    """Return the expected exit status and the arguments of each run."""
    examples = ROOT / 'examples'
    cases = [
        (0, ('--version',)),
        (0, ('--version',)),
        (0, ('--help',)),
        (0, ('settings', 'check', 'entry', str(examples / 'entry.json'))),
        # A file that is not JSON, and JSON that is not a manifest.
        (3, ('manifest', 'check', str(ROOT / 'Makefile'))),
        (3, ('manifest', 'check', str(examples / 'entry.json'))),
    ]
    manifests = sorted(examples.glob('*manifest*.json'))
    cases += [(0, ('manifest', 'check', str(path))) for path in manifests]
    if not manifests:
        print('not run: manifest check of a valid manifest; examples/ has none')
    return cases


def main() -> int:
    """Run all cases and return 1 if any exit status is not the expected one."""
    file = str(pathlib.Path(sys.argv[1]).resolve())
    python = sys.argv[2] if len(sys.argv) > 2 else '/usr/bin/python3'
    parent = MEMORY_FILE_SYSTEM if os.path.isdir(MEMORY_FILE_SYSTEM) else None
    failed = 0
    with tempfile.TemporaryDirectory(prefix='yuccarelay-', dir=parent) as root:
        print(f'{file}: {os.path.getsize(file)} bytes, unpacked to {root}')
        for expected, args in list_cases():
            done, seconds = run_file(file, python, root, *args)
            verdict = 'ok' if done.returncode == expected else 'FAILED'
            print(f'{verdict} {seconds:.2f} s, status {done.returncode}:', *args)
            if verdict == 'FAILED':
                failed += 1
                print(done.stdout + done.stderr)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
