"""Checks that the committed wire messages are what the generator makes of `proto/`."""

import importlib.util
import os
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
WIRE = ROOT / "src" / "pondtiller" / "wire"
PACKAGES = ("pondtiller", "steplog")


def main() -> int:
    """Regenerate into a scratch folder and compare."""
    if importlib.util.find_spec("grpc_tools") is None:
        print("generated code: not compared, the generator is not installed")
        return 0
    with tempfile.TemporaryDirectory() as folder:
        environment = {**os.environ, "PATH": f"{Path(sys.executable).parent}:{os.environ['PATH']}"}
        command = [sys.executable, "-m", "grpc_tools.protoc", "-I", str(ROOT / "proto")]
        command.append(f"--python_betterproto_out={folder}")
        command += [str(ROOT / "proto" / f"{package}.proto") for package in PACKAGES]
        subprocess.run(command, check=True, env=environment, stderr=subprocess.DEVNULL)
        for package in PACKAGES:
            place = Path(package) / "__init__.py"
            made = (Path(folder) / place).read_text(encoding="utf-8")
            if made != (WIRE / place).read_text(encoding="utf-8"):
                print(f"generated code: {package} differs from proto/; run `make proto`")
                return 1
    print("generated code: ok")
    return 0


if __name__ == "__main__":
    sys.exit(main())
