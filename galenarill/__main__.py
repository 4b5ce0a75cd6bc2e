"""Run the command line with `python -m galenarill`."""

from galenarill.cli import main

if __name__ == "__main__":
    main()
