"""The gateway program on the users' platform: callers, trainers, and one of them leading.

| package | what it does |
|---|---|
| `callers` | answers callers and trainers |
| `engines` | engines as this gateway reaches them |
| `runs` | runs of samples that it holds for a leader |
| `leader` | standing, and what a leader does in its term |
| `pages` | readiness, figures, the table with status |

`parts` makes and joins them, `process` runs them. A gateway keeps nothing on a disk.
"""
