"""Faults of programs: killed, stopped as planned, frozen."""

from pondtiller.soak.fault_targets import Fault, FaultTargets
from pondtiller.soak.programs import Program


def kill(targets: FaultTargets) -> Fault:
    """End a program at once."""
    return _kill(targets.random.choice(targets.programs))


def kill_leader(targets: FaultTargets) -> Fault:
    """End the leader at once."""
    return _kill(targets.find_leader())


def _kill(program: Program) -> Fault:
    program.kill()
    return Fault("kill", program.spec.name, program.revive)


def kill_all(targets: FaultTargets) -> Fault:
    """End all programs at once, as a loss of power does."""
    for program in targets.programs:
        program.kill()

    def undo() -> None:
        for program in targets.programs:
            program.revive()

    return Fault("kill", "all", undo)


def terminate(targets: FaultTargets) -> Fault:
    """Have a program stop as planned."""
    return _terminate(targets.random.choice(targets.programs))


def terminate_leader(targets: FaultTargets) -> Fault:
    """Have the leader stop as planned."""
    return _terminate(targets.find_leader())


def _terminate(program: Program) -> Fault:
    program.terminate()

    def undo() -> None:
        if program.is_running():
            program.kill()
        program.revive()

    return Fault("terminate", program.spec.name, undo)


def freeze(targets: FaultTargets) -> Fault:
    """Hold a program up."""
    return _freeze(targets.random.choice(targets.programs))


def freeze_leader(targets: FaultTargets) -> Fault:
    """Hold the leader up."""
    return _freeze(targets.find_leader())


def _freeze(program: Program) -> Fault:
    program.pause()
    return Fault("freeze", program.spec.name, program.resume)
