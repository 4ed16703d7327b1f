"""Steps for what the gateway's command imports and what signals do to it."""

import signal
import subprocess
import sys
import tempfile

from behave import then

from standins import ports


@then("importing the gateway's command imports neither jsonschema nor blacksheep")
def check_imports(context):
    program = (
        "import sys, acaciaward.cli.gateway;"
        "print([name for name in ('jsonschema', 'blacksheep') if name in sys.modules])"
    )
    found = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert found.stdout.strip() == "[]", found.stdout


# Raises a signal when the first module of the command line is imported. A process that
# was started with SIGHUP ignored, such as by nohup, would pass that on.
RAISE_ON_IMPORT = """
import os, signal, sys
number = signal.Signals[sys.argv.pop(1)]
signal.signal(signal.SIGHUP, signal.SIG_DFL)
import acaciaward.__main__ as program

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name.startswith("acaciaward.cli"):
            os.kill(os.getpid(), number)
            sys.exit(0 if number == signal.SIGHUP else 3)

sys.meta_path.insert(0, Finder())
program.main()
"""
RAISE_ON_EXIT = """
import atexit, os, signal, sys
atexit.register(os.kill, os.getpid(), signal.Signals[sys.argv.pop(1)])
import acaciaward.__main__ as program
program.main()
"""
STOP_TIMEOUT_S = 10.0


@then('{name:w} while "{command}" imports its modules {effect}')
def check_start_signal(context, name, command, effect):
    arguments = [name, *command.split()]
    done = subprocess.run([sys.executable, "-c", RAISE_ON_IMPORT, *arguments])
    ended = -signal.Signals[name]
    expected = {"is ignored": 0, "ends it with 0": 0, "ends it": ended}[effect]
    assert done.returncode == expected, done.returncode


@then("{name:w} while a stopped gateway exits leaves its exit code at 0")
def check_exit_signal(context, name):
    fields = {"NodeName": "e-1", "Zone": "dc", "Region": "r", "Ip": "127.0.0.1"}
    fields |= {"Seeds": "", "Bounds.GraceS": 2}
    fields["Platform.Address"] = f"127.0.0.1:{ports.find_free_port()}"
    for listener in ("Frontend", "Readiness", "Control", "Directory"):
        fields[f"Listen.{listener}"] = f"127.0.0.1:{ports.find_free_port()}"
    with tempfile.NamedTemporaryFile("w", suffix=".conf") as file:
        file.write("".join(f"{key}={value}\n" for key, value in fields.items()))
        file.flush()
        command = [sys.executable, "-c", RAISE_ON_EXIT, name]
        command += ["gateway", "--settings", file.name]
        with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as started:
            for line in started.stdout:
                if "entry started" in line:
                    started.terminate()
            code = started.wait(STOP_TIMEOUT_S)
    assert code == 0, code
