"""Lets `python -m yuccarelay` run the program."""

from yuccarelay.main import run

if __name__ == '__main__':
    run()
