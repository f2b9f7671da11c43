"""`python -m gaugehinge.cli`: the same as the command `gaugehinge`."""

from .main import main

if __name__ == "__main__":
    main()
