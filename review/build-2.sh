#!/bin/sh
# Prepares the stand-ins of cases 6 to 10. They are Python scripts that need the standard library alone, so that nothing
# is compiled; this checks that the interpreter is there and reads all of them.
cd "$(dirname "$0")" || exit 1
exec python3 - peers-2/*.py [6-9]/case.py 10/case.py <<'END'
import sys
if sys.version_info < (3, 8):
    sys.exit("python3 is older than 3.8")
for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
END
