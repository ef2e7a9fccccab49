"""Lets ``python -m papayacourse`` run the program."""

from papayacourse.cmdline import main

if __name__ == "__main__":
    main()
