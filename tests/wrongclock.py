"""The daemon on a host whose clock is wrong, by the seconds of the first argument; for tests."""

import sys
import time

right = time.time
wrong_by = float(sys.argv.pop(1))
time.time = lambda: right() + wrong_by

# Imported once the clock is wrong, since classes keep the function as it is then.
from papayacourse.cmdline import main  # noqa: E402

if __name__ == "__main__":
    main()
